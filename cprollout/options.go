package cprollout

import "time"

// Bounds are the fleet-wide limits of rollouts.
type Bounds struct {
	// Share and Slack limit the requests to a version that turns out to be bad: Share of all requests that reach the service
	// between the order and its deadline, and Slack. A Share of zero means that orders are ignored.
	Share float64
	Slack float64
	// Contact is the age of the view above which a VM sends nothing to a version that may have been rolled back.
	Contact time.Duration
	// Outage is the time that is added to the limits while the store is disturbed.
	Outage time.Duration
}

// Parts of Bounds.Share and Bounds.Slack.
const (
	// cautiousPart limits the requests to the new version before the step to all of them. The rest is for that step, and for
	// VMs that learn late that it has ended.
	cautiousPart = 0.35
	// canaryPart is the part of Bounds.Share that the new version gets at first, so that most of what is allowed is left for
	// the time when the version gets all requests.
	canaryPart = 0.25
	// scarceShare is the share of the requests at a service with too few of them for canaryPart to give enough evidence. Each VM
	// then keeps to scarcePart of the bounds.
	scarceShare = 0.5
	scarcePart  = 0.65
	// slackPart is the part of Bounds.Slack that is divided among the VMs. Processes that replace others divide it again.
	slackPart = 0.9
)

// Evidence.
const (
	// maxRejectError bounds how often a version as good as the old one is rolled back for each of its answers: the expected
	// number of answers of a good version until a false alarm is at least its inverse.
	maxRejectError = 1e-5
	// maxAcceptError bounds the probability that a version is accepted whose answers are bad more often than those of the old one
	// by the gaps below, and maxRouteError the same for each route alone.
	maxAcceptError = 0.05
	maxRouteError  = 0.4
	// failAccept and slowAccept are the gaps for acceptance. Of a slow version most answers are slow, while pauses of targets make
	// some slow at any version.
	failAccept = 0.15
	slowAccept = 0.4
	// The tests for a bad version are most sensitive at these gaps.
	failSmall = 0.04
	failLarge = 0.3
	slowSmall = 0.15
	slowLarge = 0.5
	// minAnswers is the number of answers of the new version that a route needs.
	minAnswers = 8
	// enoughAnswers is the number of answers that is likely to be enough for a service with several routes.
	enoughAnswers = 50
	// minRouteShare is the share of the answers of a service below which a route needs none of its own.
	minRouteShare = 0.02
	// maxBadAnswers is the number of bad answers after which a VM stops, unless the old version fails as often.
	maxBadAnswers = 50
	// slowFactor is how many times as long as usual for the old version an answer must take to be bad, and minSlow the time
	// that it must take beyond that. Below it, delays of this process could matter.
	slowFactor = 2.5
	minSlow    = 10 * time.Millisecond
	// minLatencySamples is the number of answers of the old version from which this VM knows their usual latency.
	minLatencySamples = 8
)

// Times.
const (
	// trialBeforeEnd is the part of the duration before the deadline at which the trial begins, at most contactsBeforeEnd times
	// the contact time before it. A version may turn bad late, so the trial is late, but the steps after it need time.
	trialBeforeEnd    = 0.35
	contactsBeforeEnd = 4
	// trialAnswers ends the trial when that many answers have come, and trialTime when fewer have, because each VM had used up
	// what it may send.
	trialAnswers = 30
	trialTime    = 4 * time.Second
	minTrialTime = 1500 * time.Millisecond
	// fullTime is the time whose usual number of answers the new version must give while it gets all requests, and fullPart the part
	// of the duration that it is at most, since all requests of that time count against Bounds.Share. VMs begin to send it all
	// requests at different times, so fewer answers would not be from the full load. maxFullTime limits the wait for them.
	fullTime    = 2500 * time.Millisecond
	fullPart    = 0.04
	maxFullTime = 6 * time.Second
	// fewAnswers is the number of answers that the new version must give in any case while it gets all requests.
	fewAnswers = 20
	// saveInterval is the part of the duration after which the state is stored again, so that a driver that starts later knows
	// how much of the duration has passed. minSaveInterval limits the writes for short durations.
	saveInterval    = 0.1
	minSaveInterval = 5 * time.Second
	// maxReportAge is the age up to which a report shows that a VM still makes some.
	maxReportAge = 3 * time.Second
	// settleTime is the time after which requests that were planned by an earlier view have been sent.
	settleTime = 500 * time.Millisecond
	// openTime is the time after the step to all requests in which slowness isn't counted, since many connections are opened.
	openTime = time.Second
	// reconsiderTime is the time in which the driver learns that a VM has stopped, or the VM that the rollout was completed.
	reconsiderTime = 2 * time.Second
	// recentTime and longTime are the time constants of the two averages of the old version's bad answers.
	recentTime = 2 * time.Second
	longTime   = 10 * time.Second
)

// Options are the settings of a Tracker.
type Options struct {
	Bounds Bounds
	// Start identifies the process, by which its counts are shifted against those of others.
	Start string
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithBounds sets the fleet-wide limits.
func WithBounds(b Bounds) Option { return func(o *Options) { o.Bounds = b } }

// WithStart sets the identity of the process.
func WithStart(start string) Option { return func(o *Options) { o.Start = start } }
