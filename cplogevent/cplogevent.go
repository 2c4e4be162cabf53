// Package cplogevent defines the events that log lines report and the fields of each, so that they stay stable for log
// searches. docs/OPERATIONS.md lists them in a table.
package cplogevent

// Name is the name of an event, the Event field of its log lines.
type Name string

// Names of events.
const (
	Started            Name = "Started"
	Stopped            Name = "Stopped"
	Signaled           Name = "Signaled"
	DrainState         Name = "DrainState"
	WithdrawFailed     Name = "WithdrawFailed"
	SettingsReloaded   Name = "SettingsReloaded"
	SettingsRejected   Name = "SettingsRejected"
	ServiceFailed      Name = "ServiceFailed"
	ServiceStopped     Name = "ServiceStopped"
	StoreLost          Name = "StoreLost"
	StoreRegained      Name = "StoreRegained"
	StoreRestored      Name = "StoreRestored"
	RegistrationFailed Name = "RegistrationFailed"
	Registered         Name = "Registered"
	CatchUpFailed      Name = "CatchUpFailed"
	FollowFailed       Name = "FollowFailed"
	SourceChanged      Name = "SourceChanged"
	PeerUnreached      Name = "PeerUnreached"
	EntriesRejected    Name = "EntriesRejected"
	RoutesChanged      Name = "RoutesChanged"
	FleetChanged       Name = "FleetChanged"
	TargetCold         Name = "TargetCold"
	TargetLeaving      Name = "TargetLeaving"
	TargetLimited      Name = "TargetLimited"
	TargetUnlimited    Name = "TargetUnlimited"
	LimitRejected      Name = "LimitRejected"
	TargetCrashed      Name = "TargetCrashed"
	SuspectServed      Name = "SuspectServed"
	TargetClosed       Name = "TargetClosed"
	RetryAfterRejected Name = "RetryAfterRejected"
	TargetUnresponsive Name = "TargetDark"
	TargetResponsive   Name = "TargetAnswers"
	TargetsLost        Name = "TargetsLost"
	TargetsRegained    Name = "TargetsRegained"
	ReachChanged       Name = "ReachChanged"
	FleetKnown         Name = "FleetKnown"
	QuotaCoordinator   Name = "QuotaCoordinator"
	QuotaLimited       Name = "QuotaLimited"
	ActiveSetChanged   Name = "ActiveSetChanged"
	AdmissionLimited   Name = "AdmissionLimited"
	AdmissionUnlimited Name = "AdmissionUnlimited"
	ClientsLimited     Name = "ClientsLimited"
	ClientsUnlimited   Name = "ClientsUnlimited"
	RequestServed      Name = "RequestServed"
	RequestRepeated    Name = "RequestRepeated"
	RequestIncomplete  Name = "RequestIncomplete"
	RequestRefused     Name = "RequestRefused"
	RequestFailed      Name = "RequestFailed"
	RerouteRun         Name = "RerouteRun"
	RerouteFailed      Name = "RerouteFailed"
	CallFailed         Name = "CallFailed"
	RolloutChanged     Name = "RolloutChanged"
	RolloutStep        Name = "RolloutStep"
	RolloutNotSaved    Name = "RolloutNotSaved"
	RolloutStopped     Name = "RolloutStopped"
	LinesOmitted       Name = "LinesOmitted"
)

// Names of the fields that several packages use.
const (
	FieldTime  = "Time"
	FieldLevel = "Level"
	FieldEvent = "Event"
	FieldID    = "ID"
	FieldVM    = "VM"
)

// Kind describes the log lines of an event.
type Kind struct {
	Name Name
	// Fields are the fields besides time, level and event; a line may omit empty ones.
	Fields []string
	// Meaning is the description for operators.
	Meaning string
}

// requestFields are the fields of the events that report the end of a request.
var requestFields = []string{
	FieldID, "Route", "Status", "Elapsed", "Left", "Version", "ViewAge", "Shards", "Covered", "Sends", "Hedges", "Retries",
	"Refused", "Target", "TargetVersion", "Workspace", "Via", "ViaVersion", "LeftOut", "Verdict", "Reason", "WriteError",
}

// clientFields are the fields of the events about the limits of what clients hold.
var clientFields = []string{"Bytes", "MaxBytes", "Connections", "ClosedForBytes", "ClosedForConnections", "RefusedForBytes"}

var kinds = []Kind{
	{Started, []string{FieldVM, "Domain", "Start", "Caller", "Peer"}, "the process runs; Start names this run"},
	{Stopped, []string{"InFlight"}, "the process ends; InFlight requests were given up"},
	{Signaled, []string{"Signal"}, "a signal to shut down came"},
	{DrainState, []string{"State", "InFlight"}, "the shutdown has reached its next step"},
	{WithdrawFailed, []string{"Error"}, "the registration could not be withdrawn; it ends with its lease"},
	{SettingsReloaded, []string{"Cause"}, "the settings file was read again"},
	{SettingsRejected, []string{"Cause", "Error"}, "the settings file has faults; the earlier settings hold"},
	{ServiceFailed, []string{"Detail"}, "a part of the process failed and is started again"},
	{ServiceStopped, []string{"Detail"}, "a part of the process did not end in time"},
	{StoreLost, []string{"Error", "Era", "AsOf"}, "the platform's store does not answer; what is known is as of that revision"},
	{StoreRegained, []string{"Era", "AsOf"}, "the platform's store answers again"},
	{StoreRestored, []string{"FromEra", "From", "Era", "AsOf", "Source"}, "the platform's store was restored from a copy and has lost its latest writes; this VM has loaded its contents again"},
	{RegistrationFailed, []string{"Error"}, "this VM could not register or renew its registration; it goes on trying"},
	{Registered, nil, "this VM is registered in the store, or again"},
	{CatchUpFailed, []string{FieldVM, "Error"}, "another VM could not be asked for news while the store is away"},
	{FollowFailed, []string{FieldVM, "Waited", "ViewAge", "Error"}, "another VM, which follows the store for this one, did not answer, or not in time; this VM follows the store itself for a while"},
	{SourceChanged, []string{"Source", "Before", "ViewAge"}, "this VM now gets its updates from Source, another VM or the store, and no longer from Before"},
	{PeerUnreached, []string{FieldVM, "Error"}, "another VM did not answer"},
	{EntriesRejected, []string{"Faults", "Source"}, "entries of the store that cannot be read; they name no target"},
	{RoutesChanged, []string{"Version", "Routes", "ViewAge", "Source"}, "a new version of the routes is in force here; the store has had it for ViewAge at most"},
	{FleetChanged, []string{"From", "Era", "AsOf", "Targets", "VMs", "Registered", "Gone", "Source"}, "targets, VMs or failure domains changed"},
	{TargetCold, []string{"Target", "Service", "ColdLeft"}, "a target that was warm says that it is cold"},
	{TargetLeaving, []string{"Target", "Born", "Source"}, "a target has said that it is shutting down, to this VM (Source is Target) or to another one; it gets no further requests until it starts again"},
	{TargetLimited, []string{"Target", "Born", "PerSecond", "Source"}, "a target has stated, to this VM (Source is Target) or to another one, how many requests a second it takes from all VMs together"},
	{TargetUnlimited, []string{"Target", "Born", "Source"}, "a target that had stated a rate limit states none any more"},
	{LimitRejected, []string{"Target", "Service", "Stated"}, "a target stated a rate limit that can't be read; it is ignored"},
	{TargetCrashed, []string{"Contents", "Target", "Born", "Crashed", "Source"}, "a target has crashed while it ran a request with these contents, seen by this VM (Source is Target) or by another one; after Crashed 3 such requests are refused"},
	{SuspectServed, []string{"Contents", "Source"}, "a target has served a request during which targets had crashed; it is not the cause"},
	{TargetClosed, []string{"Target", "Service", "For"}, "a target has refused a request and asked this VM for none for a time"},
	{RetryAfterRejected, []string{"Target", "Service", "Stated", "For"}, "a target asked for no requests for a time that can't be read or is too long; For is used in its place"},
	{TargetUnresponsive, []string{"Target", "Service"}, "a target has left several calls without an answer; this VM asks it one call at a time"},
	{TargetResponsive, []string{"Target", "Service"}, "a target that was dark has answered this VM"},
	{AdmissionLimited, []string{"Service", "Services"}, "this VM begins to refuse requests for these services, of which Service is the first, since they would wait too long"},
	{AdmissionUnlimited, []string{"Service", "Services"}, "this VM has refused no request for these services for five seconds"},
	{ClientsLimited, clientFields, "clients hold so much memory or so many connections that this VM closes connections of those that have fallen behind, or refuses requests; the counts are those of the last second"},
	{ClientsUnlimited, clientFields, "for five seconds this VM has closed no connection and refused no request to make room; the counts are those since its start"},
	{TargetsLost, []string{"Failing", "Targets"}, "this VM reaches no target, or only over connections that are open already: Failing targets have not answered or have refused a connection, and connection attempts to others have failed"},
	{TargetsRegained, []string{"Lost"}, "this VM reaches targets again, after the time Lost"},
	{ReachChanged, []string{FieldVM, "Lost", "Source"}, "another VM has stated that it reaches no target (Lost is true), or that it reaches targets again; callers are not sent to it meanwhile"},
	{FleetKnown, []string{"Members", "Unreached"}, "some time after its start, this VM no longer presumes that the VMs that the store lists are alive: it knows Members, itself included, and nobody has reached Unreached of the listed ones"},
	{QuotaCoordinator, []string{"Group", "Coordinates"}, "this VM has become the coordinator of the quotas of a group of workspaces (Coordinates is true), or no VM has called it as such for 10 s"},
	{QuotaLimited, []string{"Workspace", "Limited"}, "at their coordinator, requests of a workspace were refused or delayed by its quota (Limited is true), or none was for 10 s"},
	{ActiveSetChanged, []string{"VMs", "Before", "Member", "Of"}, "the active set has another size, VMs, or this VM has come into it or left it; Member is whether it is in it, and Of the number of all VMs; VMs is 0 while callers use all VMs"},
	{RequestServed, requestFields, "a request was answered with one call for each shard"},
	{RequestRepeated, requestFields, "a request was answered after hedges or retries"},
	{RequestIncomplete, requestFields, "a request was answered without some of its shards"},
	{RequestRefused, requestFields, "a request was refused and has not run"},
	{RequestFailed, requestFields, "a request got no success, or its answer did not reach the caller"},
	{RerouteRun, []string{FieldID, FieldVM, "Version", "Elapsed", "Shards", "Covered", "Sends", "Verdict", "Reason"}, "this VM has run a request for another VM, which reaches no target; Verdict and Reason if it failed"},
	{RerouteFailed, []string{FieldID, FieldVM, "Fault", "Elapsed", "Reason"}, "another VM did not answer a request that this VM had sent to it, since this VM reaches no target"},
	{CallFailed, []string{FieldID, "Contents", "Target", "Fault", "Elapsed", "Reason"}, "a call to a target for a request failed; Contents is the same for requests with the same method, host, path, query and body"},
	{RolloutChanged, []string{"Service", "TargetVersion", "Phase", "Share", "Driver", "Cause"}, "the rollout of a service is in another phase, as this VM has learned; Driver is the VM that decided it, and Cause why"},
	{RolloutStep, []string{"Service", "TargetVersion", "From", "Phase", "Share", "Cause", "Elapsed", "NewSent", "NewFailed", "NewSlow", "OldSent", "OldFailed", "OldSlow"}, "this VM drives the rollout of a service and has stored its next step; the counts are those of all VMs since the order"},
	{RolloutNotSaved, []string{"Service", "TargetVersion", "From", "Phase", "Share", "Cause", "Error"}, "this VM could not store the next step of a rollout; it tries again, or another VM does"},
	{RolloutStopped, []string{"Service", "Order", "Cause"}, "this VM sends no more requests to the new version of a service, since it found it to be bad or another VM did"},
	{LinesOmitted, []string{"TooManyOfAKind", "WriterFull"}, "lines were left out since the last such line"},
}

// Kinds returns the descriptions of all events.
func Kinds() []Kind { return kinds }

// Find returns the description of an event.
func Find(name Name) (Kind, bool) {
	for _, k := range kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}
