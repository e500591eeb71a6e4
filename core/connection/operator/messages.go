package operator

import (
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/contract"
)

// ApplyRequest creates or changes one contract. Base is the revision that the
// change is based on.
type ApplyRequest struct {
	Change   id.Change         `json:"change"`
	Base     id.Revision       `json:"base"`
	Contract contract.Contract `json:"contract"`
}

// RetireRequest ends one contract. Base is the revision that the change is based
// on.
type RetireRequest struct {
	Change        id.Change        `json:"change"`
	Base          id.Revision      `json:"base"`
	ClientAccount id.ClientAccount `json:"customer"`
}

// StopRequest requests a planned stop.
type StopRequest struct {
	Change id.Change           `json:"change"`
	Stop   id.Stop             `json:"stop"`
	Kind   register.TargetKind `json:"kind"`
	Target string              `json:"target"`
	// AcceptLoss lets the stop begin although it leaves no majority of voters, or
	// no group for a model of a contract.
	AcceptLoss bool `json:"accept_loss,omitempty"`
}

// VotersRequest requests a new set of voters with one voter more or fewer than
// now.
type VotersRequest struct {
	Voters []id.Node `json:"voters"`
}

// EndBlockRequest ends one block of parts of prompts.
type EndBlockRequest struct {
	Change id.Change     `json:"change"`
	Block  id.PartsBlock `json:"block"`
}

// BlockList is the response to a listing of the blocks of parts of prompts.
type BlockList struct {
	Blocks []register.PartsBlock `json:"blocks"`
}

// EvacuationRequest starts or finishes the evacuation of a data centre.
type EvacuationRequest struct {
	Change     id.Change     `json:"change"`
	DataCentre id.DataCentre `json:"data_centre"`
}

// EvacuationList is the response to a listing of the evacuated data centres. Version is that
// of the last change.
type EvacuationList struct {
	Version     id.Version      `json:"version"`
	DataCentres []id.DataCentre `json:"data_centres"`
}

// ContractList is the response to a listing of contracts.
type ContractList struct {
	Contracts []register.ContractRecord `json:"contracts"`
}

// StopList is the response to a listing of stops.
type StopList struct {
	Stops []register.StopRecord `json:"stops"`
}
