package clementineport

import "time"

// QuotaNonce identifies an answer of a coordinator of quotas. It is zero if there was none.
type QuotaNonce uint64

// QuotaRequest asks the coordinator of a group of workspaces for tokens, and binds the weight of the sender to it if it has a
// recent nonce. Without a weight, it is the call of a coordinator that asks an idle VM to lend its weight.
type QuotaRequest struct {
	From  VMID
	Start StartID
	Group int
	// Nonce is that of the latest answer of the coordinator to this VM, or zero if the weight is not to be bound.
	Nonce QuotaNonce
	// Weight is the sender's share of each quota, from 0 to 1.
	Weight float64
	// Version is the version of the routes that the sender has.
	Version Revision
	Demands []QuotaDemand
}

// QuotaDemand is the number of tokens that a VM wants for a workspace.
type QuotaDemand struct {
	Workspace WorkspaceID
	Tokens    float64
	// Returned is the number of tokens that the VM has made by its own weight, and hands over together with it.
	Returned float64
}

// QuotaAnswer is the answer of a coordinator. Grants are in the order of the demands.
type QuotaAnswer struct {
	Nonce QuotaNonce
	// Bound is true if the coordinator counts the weight of the sender, or if an idle VM lends its weight.
	Bound  bool
	Grants []QuotaGrant
}

// QuotaGrant holds the tokens that a VM was given for a workspace, or that an idle VM hands over with its weight.
type QuotaGrant struct {
	Tokens float64
	// Wait is the time after which the coordinator expects to have a token, if it gave fewer than were wanted.
	Wait time.Duration
}
