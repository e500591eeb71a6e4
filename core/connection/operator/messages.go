package operator

import (
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/contract"
)

// ApplyRequest changes one contract from the revision that the operator saw.
type ApplyRequest struct {
	Change   id.Change         `json:"change"`
	Base     id.Revision       `json:"base"`
	Contract contract.Contract `json:"contract"`
}

// RetireRequest ends one contract.
type RetireRequest struct {
	Change        id.Change        `json:"change"`
	Base          id.Revision      `json:"base"`
	ClientAccount id.ClientAccount `json:"customer"`
}

// StopRequest asks for a planned stop.
type StopRequest struct {
	Change id.Change           `json:"change"`
	Stop   id.Stop             `json:"stop"`
	Kind   register.TargetKind `json:"kind"`
	Target string              `json:"target"`
	// AcceptLoss lets the stop begin although it breaks a promise.
	AcceptLoss bool `json:"accept_loss,omitempty"`
}

// VotersRequest asks for a new set of voters, one more or one fewer than now.
type VotersRequest struct {
	Voters []id.Node `json:"voters"`
}

// ContractList is the answer to a listing of contracts.
type ContractList struct {
	Contracts []register.ContractRecord `json:"contracts"`
}

// StopList is the answer to a listing of stops.
type StopList struct {
	Stops []register.StopRecord `json:"stops"`
}
