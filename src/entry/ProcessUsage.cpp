#include "entry/ProcessUsage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace sycamoreward {

namespace {

double
ToSeconds(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) / 1e6;
}

} // namespace

ProcessUsage
ReadProcessUsage()
{
  ProcessUsage usage;
  rusage counters{};
  getrusage(RUSAGE_SELF, &counters);
  usage.processorSeconds_ =
    ToSeconds(counters.ru_utime) + ToSeconds(counters.ru_stime);
  std::ifstream file("/proc/self/statm");
  std::uint64_t sizePages = 0;
  std::uint64_t residentPages = 0;
  if (file >> sizePages >> residentPages) {
    usage.residentBytes_ =
      residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  }
  return usage;
}

} // namespace sycamoreward
