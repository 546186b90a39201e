package analyzer

import "daisylane/internal/receiver"

// Advice refers an operator to the documentation of a cause.
type Advice struct {
	Section string // heading in docs/OPERATIONS.md
	Text    string // what the operator can do
}

// outcomesSection is the section with a row for each cause.
const outcomesSection = "Outcomes"

// advice holds what an operator can do, by cause. The table of outcomes in
// docs/OPERATIONS.md has the same text.
var advice = map[receiver.Cause]Advice{
	LateCause:                   {"Late", "Look at the timeline: a failed attempt before it points to a slow or broken target, a large `backlog` to too few targets."},
	receiver.TargetFailed:       {"Without an answer", "The target answered with a failure. See what else that target did; the entry passed its answer on."},
	receiver.Stopping:           {outcomesSection, "Expected while an instance stops. Check that clients are sent to other instances before the stop."},
	receiver.Starting:           {outcomesSection, "Expected until the first configuration and budgets are read. If it lasts, check that the instance reaches the store."},
	receiver.Malformed:          {"Clients that break limits", "Correct the client: a header could not be read."},
	receiver.InvalidURI:         {"Clients that break limits", "Correct the client: the request names no path."},
	receiver.NoRoute:            {outcomesSection, "Correct the client, or add the route to the configuration."},
	receiver.StaleRoute:         {outcomesSection, "Expected for seconds after a change of the configuration. If it lasts, look for `configuration is not followed`."},
	receiver.UnknownKey:         {outcomesSection, "Correct the key of the client, or add it to the account."},
	receiver.StaleKey:           {outcomesSection, "Expected for seconds after a change of the configuration. If it lasts, look for `configuration is not followed`."},
	receiver.NoService:          {outcomesSection, "Correct the configuration: the route leads to a service that it lacks."},
	receiver.BodyTooLarge:       {"Clients that break limits", "Correct the client, or raise `max_body_bytes` of the configuration."},
	receiver.BodyIncomplete:     {"Clients that break limits", "The caller ended its request. Nothing is to be done for single ones."},
	receiver.BodyTooSlow:        {"Clients that break limits", "Check the link and the load of the instance if clients send as fast as they should."},
	receiver.NoMemory:           {"Clients that break limits", "Add instances, or raise `limits.held_mb`, if all clients keep their limits."},
	receiver.Exhausted:          {"Refused for lack of tokens", "Top the account up. If tokens were left unused, look for `lost_tokens` and tokens withheld."},
	receiver.TokensShort:        {"Refused for lack of tokens", "Others may hold the tokens. Look for `budget store lost` and `peer lends nothing` before it."},
	receiver.TokensLimited:      {"Refused for lack of tokens", "The ledger could not be written in time. Check that the instance reaches the store."},
	receiver.TokensUnready:      {"Refused for lack of tokens", "Expected until `budgets recovered`. If it lasts, check that the instance reaches the store."},
	receiver.TokensWithheld:     {"After the store was restored from an older copy", "Bring instances back that are cut off. After a write-off, raise `prepaid` of the account."},
	receiver.NoTargets:          {outcomesSection, "Start targets of the service, or look in the log for `target gone` and `target changed`."},
	receiver.OutsideRegions:     {"Refused because of regions", "Start targets in the allowed regions, or extend `allowed_regions`."},
	receiver.Evacuated:          {"Refused because of an evacuation", "Reopen the data centre by removing its object, or start targets elsewhere."},
	receiver.Overloaded:         {"Late", "Add targets, or lower the load: none could answer within the latency objective."},
	receiver.Busy:               {"Late", "Add targets, or lower the load: all were full."},
	receiver.Paused:             {outcomesSection, "Each target asked for a pause. Look for `target asks for a pause` and the cause at these targets."},
	receiver.Limited:            {"Refused because targets are limited", "Compare the load with the sum of the limits; look for `peer gives no permits`."},
	receiver.Crashing:           {"Refused because targets crash", "Keep the client from sending the request again, and report the crash to the maintainers of the target."},
	receiver.VersionUnknown:     {"A stream that is not gone on with", "The caller begins anew. Look for `notes of streams not stored` and uncertain versions."},
	receiver.VersionGone:        {"A stream that is not gone on with", "The caller begins anew. Keep old versions running until their streams have ended."},
	receiver.Refused:            {outcomesSection, "The targets refused to run it. See in the timeline with which status, and check these targets."},
	receiver.Unreachable:        {outcomesSection, "No connection to a target could be made. Check the targets and the network between them and the instance."},
	receiver.NoAnswer:           {"Without an answer", "See what else the target did. If requests of the route may run twice, the configuration can say so."},
	receiver.Interrupted:        {"Without an answer", "The answer broke off. See what else the target did, and whether it restarted."},
	receiver.TimedOut:           {"Without an answer", "The time of the caller or the route was over. See where it went in the timeline; compare with the usual time of the route."},
	receiver.CallerDisconnected: {"Without an answer", "The caller went away. Nothing is to be done for single ones; many point to clients that wait less than the route."},
}

func adviceFor(cause receiver.Cause) Advice {
	if a, ok := advice[cause]; ok {
		return a
	}
	return Advice{outcomesSection, "The log comes from a newer release; explain it with that one."}
}
