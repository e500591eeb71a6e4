package register

import (
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"carobline.dev/core/compressed"
	"carobline.dev/core/id"
	"carobline.dev/core/step"
)

// PackedDeclaration is a declaration as nodes get it: compressed, and without its
// source, which they don't read. It is packed at most once, however many nodes it is
// sent to, and unpacked while it is decoded. It is safe for concurrent use.
type PackedDeclaration struct {
	record DeclarationRecord

	once   sync.Once
	packed []byte
	err    error
}

// packedDocument is the JSON form of a PackedDeclaration. GZip is the declaration in
// JSON, compressed.
type packedDocument struct {
	Version id.Version `json:"version"`
	GZip    []byte     `json:"gzip"`
}

func newPackedDeclaration(record DeclarationRecord) *PackedDeclaration {
	record.Declaration.Source = nil
	return &PackedDeclaration{record: record}
}

// Record returns the declaration without its source.
func (declaration *PackedDeclaration) Record() *DeclarationRecord { return &declaration.record }

// MarshalJSON encodes the declaration, with the bytes of the first call.
func (declaration *PackedDeclaration) MarshalJSON() ([]byte, error) {
	declaration.once.Do(func() { declaration.packed, declaration.err = pack(&declaration.record) })
	return declaration.packed, declaration.err
}

func pack(record *DeclarationRecord) ([]byte, error) {
	data, err := json.Marshal(&record.Declaration)
	if err != nil {
		return nil, errors.Wrap(err, "pack declaration")
	}
	zipped, err := compressed.Pack(data)
	if err != nil {
		return nil, errors.Wrap(err, "pack declaration")
	}
	packed, err := json.Marshal(packedDocument{Version: record.Version, GZip: zipped})
	return packed, step.Wrap(err, "pack declaration")
}

// UnmarshalJSON decodes and unpacks a declaration.
func (declaration *PackedDeclaration) UnmarshalJSON(data []byte) error {
	var document packedDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return errors.Wrap(err, "unpack declaration")
	}
	plain, err := compressed.Unpack(document.GZip)
	if err != nil {
		return errors.Wrap(err, "unpack declaration")
	}
	declaration.record.Version = document.Version
	return step.Wrap(json.Unmarshal(plain, &declaration.record.Declaration), "unpack declaration")
}
