package receiver

import "daisylane/internal/granter"

// Cause is how a request ended, as in logs, metrics and bodies of refusals.
type Cause string

// Values of [Cause].
const (
	Complete           Cause = "whole"
	TargetFailed       Cause = "targetfailed"
	Stopping           Cause = "stopping"
	Starting           Cause = "starting"
	Malformed          Cause = "malformed"
	InvalidURI         Cause = "uri"
	NoRoute            Cause = "route"
	StaleRoute         Cause = "routestale"
	UnknownKey         Cause = "key"
	StaleKey           Cause = "keystale"
	NoService          Cause = "service"
	BodyTooLarge       Cause = "body"
	BodyIncomplete     Cause = "unread"
	BodyTooSlow        Cause = "bodyslow"
	NoMemory           Cause = "nomemory"
	Exhausted          Cause = "exhausted"
	TokensShort        Cause = "tokensshort"
	TokensLimited      Cause = "tokenslimited"
	TokensUnready      Cause = "tokensunready"
	TokensWithheld     Cause = "tokenswithheld"
	NoTargets          Cause = "notargets"
	OutsideRegions     Cause = "region"
	Evacuated          Cause = "evacuated"
	Overloaded         Cause = "overloaded"
	Busy               Cause = "busy"
	Paused             Cause = "paused"
	Crashing           Cause = "crashing"
	VersionUnknown     Cause = "versionunknown"
	VersionGone        Cause = "versiongone"
	Limited            Cause = "limited"
	Refused            Cause = "refused"
	Unreachable        Cause = "unreachable"
	NoAnswer           Cause = "noanswer"
	Interrupted        Cause = "interrupted"
	TimedOut           Cause = "timeout"
	CallerDisconnected Cause = "left"
)

// Meanings explains each cause to operators, as the end of a sentence that begins
// with the request.
var Meanings = map[Cause]string{
	Complete:           "was answered by a target",
	TargetFailed:       "was answered by a target with a failure, which was passed on",
	Stopping:           "was refused, because the instance was about to stop",
	Starting:           "was refused, because the instance had no configuration or no budgets yet",
	Malformed:          "was refused, because a header could not be read",
	InvalidURI:         "was refused, because the request names no path",
	NoRoute:            "was refused, because no route of the configuration leads anywhere",
	StaleRoute:         "was refused for now, because there is no such route and a newer configuration may exist",
	UnknownKey:         "was refused, because no account has the key",
	StaleKey:           "was refused for now, because no account has the key and a newer configuration may exist",
	NoService:          "was refused, because the route leads to a service that the configuration lacks",
	BodyTooLarge:       "was refused, because the body exceeds the limit",
	BodyIncomplete:     "ended, because the caller did not send the whole body",
	BodyTooSlow:        "was refused, because its body arrived too slowly",
	NoMemory:           "was refused, because there was no memory for its body",
	Exhausted:          "was refused, because the prepaid budget cannot cover the request",
	TokensShort:        "was refused for now, because this instance could not get enough tokens in time",
	TokensLimited:      "was refused for now, because the ledger could not be written in time to use the tokens held",
	TokensUnready:      "was refused for now, because the budgets had not been recovered",
	TokensWithheld:     "was refused for now, because the budget covers the request only with tokens of which it is not known whether they are spent",
	NoTargets:          "was refused, because no target of the service was left to try",
	OutsideRegions:     "was refused, because no target is in a region that the route and the account allow",
	Evacuated:          "was refused, because each data centre that has targets for it is evacuated",
	Overloaded:         "was refused, because the best target was expected to answer too late",
	Busy:               "was refused, because the targets were full",
	Paused:             "was refused, because each target left to try had asked for a pause",
	Limited:            "was refused, because the limits that the targets name were used up",
	Crashing:           "was not sent to a target, because targets crash under a part of its prompt or under equal requests",
	VersionUnknown:     "was refused, because the fleet does not know which software version began its stream",
	VersionGone:        "was refused, because no target has the software version that began its stream",
	Refused:            "was refused, because the targets did not run it",
	Unreachable:        "was refused, because no target could be reached",
	NoAnswer:           "failed, because the target did not answer and the request may not run again",
	Interrupted:        "broke off, because the target's answer broke off",
	TimedOut:           "ended, because the time of the caller or the route was over",
	CallerDisconnected: "ended, because the caller went away",
}

// tokenCauses maps the outcome of a failed reservation to a cause.
var tokenCauses = map[granter.Outcome]Cause{
	granter.Short: TokensShort, granter.Limited: TokensLimited, granter.Unready: TokensUnready, granter.Withheld: TokensWithheld, granter.Exhausted: Exhausted,
}
