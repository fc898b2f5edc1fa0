#pragma once

// Maps the fields of each message to their wire names. Describe calls aArchive
// for each field, so that encoding and decoding share one definition.

#include "peer/Messages.h"

namespace sycamoreward {

template<typename A>
void
Describe(A& aArchive, Address& aValue)
{
  aArchive("ip", aValue.ip_);
  aArchive("port", aValue.port_);
}

template<typename A>
void
Describe(A& aArchive, PeerIdentity& aValue)
{
  aArchive("instance", aValue.instance_);
  aArchive("incarnation", aValue.incarnation_);
  aArchive("domain", aValue.failureDomain_);
  aArchive("region", aValue.region_);
  aArchive("peer", aValue.peerAddress_);
  aArchive("caller", aValue.callerAddress_);
  aArchive("strength", aValue.strength_);
}

template<typename A>
void
Describe(A& aArchive, AttemptRecord& aValue)
{
  aArchive("number", aValue.number_);
  aArchive("server", aValue.server_);
  aArchive("sent", aValue.sent_);
  aArchive("end", aValue.end_);
}

template<typename A>
void
Describe(A& aArchive, KeptAnswer& aValue)
{
  aArchive("status", aValue.status_);
  aArchive("contentType", aValue.contentType_);
  aArchive.Binary("body", aValue.body_);
}

template<typename A>
void
Describe(A& aArchive, Outcome& aValue)
{
  aArchive("request", aValue.request_);
  aArchive("workspace", aValue.workspace_);
  aArchive("service", aValue.service_);
  aArchive("keyDigest", aValue.keyDigest_);
  aArchive("bodyDigest", aValue.bodyDigest_);
  aArchive.Enum("kind", aValue.kind_, OutcomeKind::Unknown);
  aArchive("attempts", aValue.attempts_);
  aArchive("accepted", aValue.accepted_);
  aArchive("ended", aValue.ended_);
  aArchive("answerDigest", aValue.answerDigest_);
  aArchive("answerLength", aValue.answerLength_);
  aArchive("evidence", aValue.evidence_);
  aArchive("answer", aValue.answer_);
}

template<typename A>
void
Describe(A& aArchive, RegisterRequest& aValue)
{
  aArchive("request", aValue.request_);
  aArchive("workspace", aValue.workspace_);
  aArchive("service", aValue.service_);
  aArchive("region", aValue.region_);
  aArchive("keyDigest", aValue.keyDigest_);
  aArchive("bodyDigest", aValue.bodyDigest_);
  aArchive("durable", aValue.isDurable_);
  aArchive("owner", aValue.owner_);
  aArchive("servers", aValue.servers_);
  aArchive("previousOwners", aValue.previousOwners_);
}

template<typename A>
void
Describe(A& aArchive, RegisterReply& aValue)
{
  aArchive.Enum("status", aValue.status_, RegisterStatus::Unavailable);
  aArchive("request", aValue.request_);
  aArchive("owner", aValue.owner_);
  aArchive("outcome", aValue.outcome_);
}

template<typename A>
void
Describe(A& aArchive, Hello& aValue)
{
  aArchive("protocol", aValue.protocol_);
  aArchive("identity", aValue.identity_);
}

template<typename A>
void
Describe(A& aArchive, MemberEvent& aValue)
{
  aArchive("identity", aValue.identity_);
  aArchive.Enum("state", aValue.state_, MemberState::Dead);
}

template<typename A>
void
Describe(A& aArchive, ServerLeavingEvent& aValue)
{
  aArchive("server", aValue.server_);
}

template<typename A>
void
Describe(A& aArchive, Beat& aValue)
{
  aArchive("incarnation", aValue.incarnation_);
  aArchive("config", aValue.configuration_);
  aArchive("servers", aValue.serverListVersion_);
  aArchive("inForce", aValue.inForce_);
  aArchive("relayedInForce", aValue.relayedInForce_);
  aArchive("members", aValue.members_);
  aArchive("leaving", aValue.leavingServers_);
}

template<typename A>
void
Describe(A& /*aArchive*/, Probe& /*aValue*/)
{
}

template<typename A>
void
Describe(A& /*aArchive*/, ProbeReply& /*aValue*/)
{
}

template<typename A>
void
Describe(A& aArchive, FeedPull& aValue)
{
  aArchive.Enum("feed", aValue.feed_, FeedName::ServerList);
  aArchive("after", aValue.after_);
}

template<typename A>
void
Describe(A& aArchive, FeedDelta& aValue)
{
  aArchive.Enum("feed", aValue.feed_, FeedName::ServerList);
  aArchive("snapshot", aValue.isSnapshot_);
  aArchive("after", aValue.after_);
  aArchive("version", aValue.version_);
  aArchive("items", aValue.items_);
}

template<typename A>
void
Describe(A& aArchive, Register& aValue)
{
  aArchive("request", aValue.request_);
}

template<typename A>
void
Describe(A& aArchive, Registered& aValue)
{
  aArchive("reply", aValue.reply_);
}

template<typename A>
void
Describe(A& aArchive, Record& aValue)
{
  aArchive("outcomes", aValue.outcomes_);
}

template<typename A>
void
Describe(A& aArchive, Recorded& aValue)
{
  aArchive("requests", aValue.requests_);
}

template<typename A>
void
Describe(A& aArchive, Lookup& aValue)
{
  aArchive("request", aValue.request_);
}

template<typename A>
void
Describe(A& aArchive, LookupAnswer& aValue)
{
  aArchive("outcome", aValue.outcome_);
  aArchive("error", aValue.error_);
}

template<typename A>
void
Describe(A& aArchive, Follow& aValue)
{
  aArchive("request", aValue.request_);
  aArchive("from", aValue.from_);
}

template<typename A>
void
Describe(A& aArchive, AnswerPart& aValue)
{
  aArchive("request", aValue.request_);
  aArchive("attempt", aValue.attempt_);
  aArchive("index", aValue.index_);
  aArchive.Enum("kind", aValue.kind_, AnswerPartKind::Broken);
  aArchive("status", aValue.status_);
  aArchive("contentType", aValue.contentType_);
  aArchive.Binary("data", aValue.data_);
}

template<typename A>
void
Describe(A& aArchive, HandOver& aValue)
{
  aArchive("request", aValue.request_);
  aArchive("workspace", aValue.workspace_);
  aArchive("service", aValue.service_);
  aArchive("keyDigest", aValue.keyDigest_);
  aArchive("bodyDigest", aValue.bodyDigest_);
  aArchive("method", aValue.method_);
  aArchive("target", aValue.target_);
  aArchive("contentType", aValue.contentType_);
  aArchive.Binary("body", aValue.body_);
  aArchive("accepted", aValue.accepted_);
  aArchive("remaining", aValue.remaining_);
  aArchive("attempts", aValue.attempts_);
  aArchive("sent", aValue.isSent_);
  aArchive("owners", aValue.owners_);
  aArchive("status", aValue.status_);
  aArchive("answerContentType", aValue.answerContentType_);
  aArchive("tokens", aValue.tokens_);
}

template<typename A>
void
Describe(A& aArchive, HandOverReply& aValue)
{
  aArchive("accepted", aValue.isAccepted_);
  aArchive("reason", aValue.reason_);
}

template<typename A>
void
Describe(A& aArchive, ServerUse& aValue)
{
  aArchive("server", aValue.server_);
  aArchive("running", aValue.running_);
  aArchive("unread", aValue.unreadTokens_);
  aArchive("slowness", aValue.slownessPercent_);
  aArchive("slownessAge", aValue.slownessAgeMs_);
}

template<typename A>
void
Describe(A& aArchive, ServerLimit& aValue)
{
  aArchive("server", aValue.server_);
  aArchive("limited", aValue.isLimited_);
  aArchive("milliRate", aValue.milliRate_);
  aArchive("age", aValue.ageMs_);
}

template<typename A>
void
Describe(A& aArchive, LeavingServer& aValue)
{
  aArchive("server", aValue.server_);
  aArchive("incarnation", aValue.incarnation_);
}

template<typename A>
void
Describe(A& aArchive, ServerCrash& aValue)
{
  aArchive("server", aValue.server_);
  aArchive("incarnation", aValue.incarnation_);
  aArchive("age", aValue.ageMs_);
  aArchive("fingerprints", aValue.fingerprints_);
  aArchive("sentAges", aValue.sentAgesMs_);
}

template<typename A>
void
Describe(A& aArchive, FingerprintStatus& aValue)
{
  aArchive("fingerprint", aValue.fingerprint_);
  aArchive("answered", aValue.isAnswered_);
  aArchive("answerAge", aValue.answerAgeMs_);
  aArchive("blocked", aValue.blockedMs_);
  aArchive("blockLength", aValue.blockLengthMs_);
  aArchive("blockCrashAge", aValue.blockCrashAgeMs_);
}

template<typename A>
void
Describe(A& aArchive, WindowUse& aValue)
{
  aArchive("window", aValue.window_);
  aArchive("counts", aValue.counts_);
}

template<typename A>
void
Describe(A& aArchive, InstanceReport& aValue)
{
  aArchive("identity", aValue.identity_);
  aArchive("sequence", aValue.sequence_);
  aArchive("loadOnly", aValue.isLoadOnly_);
  aArchive("sent", aValue.sent_);
  aArchive("ready", aValue.isReady_);
  aArchive("leaving", aValue.isLeaving_);
  aArchive("deployment", aValue.deployment_);
  aArchive("dutyEpoch", aValue.dutyEpoch_);
  aArchive("servers", aValue.servers_);
  aArchive("limits", aValue.limits_);
  aArchive("leavingServers", aValue.leaving_);
  aArchive("crashes", aValue.crashes_);
  aArchive("fingerprints", aValue.fingerprints_);
  aArchive("used", aValue.used_);
  aArchive("quotaLevels", aValue.quotaLevels_);
  aArchive("begun", aValue.begun_);
  aArchive("demand", aValue.demand_);
  aArchive("refused", aValue.refused_);
}

template<typename A>
void
Describe(A& aArchive, RelayedRow& aValue)
{
  aArchive("table", aValue.table_);
  aArchive("key", aValue.key_);
  aArchive.Binary("value", aValue.value_);
  aArchive("version", aValue.version_);
  aArchive("deleted", aValue.isDeleted_);
}

template<typename A>
void
Describe(A& aArchive, Reports& aValue)
{
  aArchive("reports", aValue.reports_);
  aArchive("heardIncarnation", aValue.heardIncarnation_);
  aArchive("heardSequence", aValue.heardSequence_);
  aArchive("wantsHeard", aValue.wantsHeard_);
  aArchive("wantsDigest", aValue.wantsDigest_);
  aArchive("rowVersions", aValue.rowVersions_);
  aArchive("rowEras", aValue.rowEras_);
  aArchive("changeVersions", aValue.changeVersions_);
  aArchive("changeEras", aValue.changeEras_);
}

template<typename A>
void
Describe(A& aArchive, Digest& aValue)
{
  aArchive("servers", aValue.servers_);
  aArchive("serverValues", aValue.serverValues_);
  aArchive("members", aValue.members_);
  aArchive("memberValues", aValue.memberValues_);
  aArchive("used", aValue.used_);
  aArchive("demand", aValue.demand_);
  aArchive("refused", aValue.refused_);
  aArchive("rowVersions", aValue.rowVersions_);
  aArchive("rowEras", aValue.rowEras_);
  aArchive("rows", aValue.rows_);
  aArchive("limits", aValue.limits_);
  aArchive("leavingServers", aValue.leaving_);
  aArchive("crashes", aValue.crashes_);
  aArchive("fingerprints", aValue.fingerprints_);
}

template<typename A>
void
Describe(A& aArchive, QuotaRequest& aValue)
{
  aArchive("workspace", aValue.workspace_);
  aArchive("amount", aValue.amount_);
}

template<typename A>
void
Describe(A& aArchive, QuotaReply& aValue)
{
  aArchive("granted", aValue.isGranted_);
}

template<typename A>
void
Describe(A& aArchive, PlacementRequest& aValue)
{
  aArchive("service", aValue.service_);
  aArchive("domain", aValue.domain_);
  aArchive("promptTokens", aValue.promptTokens_);
  aArchive("objectiveMs", aValue.objectiveMs_);
  aArchive("parts", aValue.parts_);
  aArchive("partTokens", aValue.partTokens_);
  aArchive("tried", aValue.tried_);
  aArchive("idle", aValue.idle_);
}

template<typename A>
void
Describe(A& aArchive, PlacementReply& aValue)
{
  aArchive("server", aValue.server_);
  aArchive("work", aValue.work_);
  aArchive("wait", aValue.waitMs_);
  aArchive("queue", aValue.queueMs_);
  aArchive("read", aValue.readMs_);
  aArchive("tokens", aValue.tokens_);
  aArchive("unread", aValue.unreadTokens_);
  aArchive("running", aValue.running_);
  aArchive("load", aValue.loadMs_);
}

template<typename A>
void
Describe(A& aArchive, PlacementUpdate& aValue)
{
  aArchive("work", aValue.work_);
  aArchive.Enum("event", aValue.event_, PlacementEvent::NotSent);
  aArchive("after", aValue.afterMs_);
  aArchive("slowness", aValue.slownessPercent_);
}

template<typename A>
void
Describe(A& aArchive, PlacementUpdates& aValue)
{
  aArchive("news", aValue.updates_);
}

} // namespace sycamoreward
