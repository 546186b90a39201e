package receiver

import "daisylane/internal/granter"

// Cause says how a request ended, in logs and metrics.
type Cause string

// Causes.
const (
	Whole         Cause = "whole"
	TargetFailed  Cause = "targetfailed"
	Stopping      Cause = "stopping"
	Starting      Cause = "starting"
	Malformed     Cause = "malformed"
	WrongURI      Cause = "uri"
	NoRoute       Cause = "route"
	StaleRoute    Cause = "routestale"
	NoKey         Cause = "key"
	StaleKey      Cause = "keystale"
	NoService     Cause = "service"
	LargeBody     Cause = "body"
	Unread        Cause = "unread"
	Exhausted     Cause = "exhausted"
	TokensShort   Cause = "tokensshort"
	TokensLimited Cause = "tokenslimited"
	TokensUnready Cause = "tokensunready"
	NoTargets     Cause = "notargets"
	Overloaded    Cause = "overloaded"
	Busy          Cause = "busy"
	Refused       Cause = "refused"
	Unreachable   Cause = "unreachable"
	NoAnswer      Cause = "noanswer"
	Interrupted   Cause = "interrupted"
	TimedOut      Cause = "timeout"
	Left          Cause = "left"
)

// Meanings explains each cause to operators, after "was".
var Meanings = map[Cause]string{
	Whole:         "answered by a target",
	TargetFailed:  "answered by a target with a failure, which was passed on",
	Stopping:      "refused, because the instance was about to stop",
	Starting:      "refused, because the instance had no configuration or no budgets yet",
	Malformed:     "refused, because a header could not be read",
	WrongURI:      "refused, because the request names no path",
	NoRoute:       "refused, because no route of the configuration leads anywhere",
	StaleRoute:    "refused for now, because there is no such route and a newer configuration may exist",
	NoKey:         "refused, because no account has the key",
	StaleKey:      "refused for now, because no account has the key and a newer configuration may exist",
	NoService:     "refused, because the route leads to a service that the configuration lacks",
	LargeBody:     "refused, because the body exceeds the limit",
	Unread:        "ended, because the caller did not send the whole body",
	Exhausted:     "refused, because the prepaid budget cannot cover the request",
	TokensShort:   "refused for now, because this instance could not get enough tokens in time",
	TokensLimited: "refused for now, because the ledger could not be written in time to use the tokens held",
	TokensUnready: "refused for now, because the budgets had not been recovered",
	NoTargets:     "refused, because no target of the service was left to try",
	Overloaded:    "refused, because the best target was expected to answer too late",
	Busy:          "refused, because the targets were full",
	Refused:       "refused, because the targets did not run it",
	Unreachable:   "refused, because no target could be reached",
	NoAnswer:      "failed, because the target did not answer and the request may not run again",
	Interrupted:   "broken off, because the target's answer broke off",
	TimedOut:      "ended, because the time of the caller or the route was over",
	Left:          "ended, because the caller went away",
}

// tokenCauses are the causes of requests for which no tokens were reserved.
var tokenCauses = map[granter.Outcome]Cause{
	granter.Short: TokensShort, granter.Limited: TokensLimited, granter.Unready: TokensUnready, granter.Exhausted: Exhausted,
}
