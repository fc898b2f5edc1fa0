#include "support/CertificateDesk.h"

#include "base/Digest.h"
#include "ledger/Partition.h"
#include "membership/Member.h"

namespace sycamoreward {

std::string
KeyServedBy(unsigned aIndex)
{
  const RegionId region(Deployment::kRegion);
  const WorkspaceId workspace("lab");
  const ServiceName service(kCertificateService);
  MemberList members;
  for (unsigned entry = 0; entry < DeploymentOptions{}.entries_; ++entry) {
    Member member;
    member.identity_.instance_ = InstanceId(Deployment::EntryId(entry));
    member.identity_.region_ = region;
    members.members_.push_back(member);
  }
  for (unsigned number = 0;; ++number) {
    std::string key = "certificate-" + std::to_string(number);
    const LedgerPartition partition =
      ChoosePartition(region,
                      workspace,
                      service,
                      Sha256Hex({ workspace.Value(), service.Value(), key }));
    if (RankForDuty(members, PartitionName(partition), region).front() ==
        InstanceId(Deployment::EntryId(aIndex))) {
      return key;
    }
  }
}

void
SetAllServices(Deployment& aDeployment, const nlohmann::json& aFaults)
{
  for (unsigned index = 0; index < aDeployment.Services(); ++index) {
    aDeployment.Post(aDeployment.ServiceAddress(index), "/faults", aFaults);
  }
}

void
SetPlatform(Deployment& aDeployment, const nlohmann::json& aFaults)
{
  aDeployment.Post(aDeployment.PlatformAddress(), "/faults", aFaults);
}

void
KillEntry(Deployment& aDeployment, unsigned aIndex)
{
  aDeployment.Entry(aIndex).Kill();
  aDeployment.SetState(Deployment::EntryId(aIndex), "gone");
}

std::uint64_t
TableWrites(Deployment& aDeployment)
{
  return aDeployment.Get(aDeployment.PlatformAddress(), "/counters")
    .at("tableWrites");
}

bool
IsServiceWorking(Deployment& aDeployment)
{
  for (unsigned index = 0; index < aDeployment.Services(); ++index) {
    const auto load =
      aDeployment.Get(aDeployment.ServiceAddress(index), "/load");
    if (load.at("running").get<unsigned>() > 0) {
      return true;
    }
  }
  return false;
}

} // namespace sycamoreward
