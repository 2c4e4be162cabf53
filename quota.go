package clementineport

import "time"

// QuotaNonce identifies an answer of a coordinator of quotas. It is zero if there was none.
type QuotaNonce uint64

// QuotaRequest asks the coordinator of a group of workspaces for tokens, and binds the weight of the sender to it.
type QuotaRequest struct {
	From  VMID
	Start StartID
	Group int
	// Nonce is that of the latest answer of the coordinator to this VM.
	Nonce QuotaNonce
	// Weight is the share of each quota that the sender brings.
	Weight float64
	// Version is the version of the routes that the sender has.
	Version Revision
	Demands []QuotaDemand
}

// QuotaDemand is the number of tokens that a VM wants for a workspace.
type QuotaDemand struct {
	Workspace WorkspaceID
	Tokens    float64
	// Returned is the number of unused tokens that the VM gives back.
	Returned float64
}

// QuotaAnswer is the answer of a coordinator. Grants are in the order of the demands.
type QuotaAnswer struct {
	Nonce QuotaNonce
	// Bound is true if the coordinator counts the weight of the sender.
	Bound  bool
	Grants []QuotaGrant
}

// QuotaGrant holds the tokens that a VM was given for a workspace.
type QuotaGrant struct {
	Tokens float64
	// Wait is the time after which the coordinator expects to have a token, if it gave fewer than were wanted.
	Wait time.Duration
}
