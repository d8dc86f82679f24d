package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Decode decodes one JSON document of at most limit bytes into a wire struct
// and validates it by the struct's validate tags. It rejects unknown fields,
// repeated fields and data after the document. An error means that the reader
// failed; everything that is wrong with the document itself is returned as
// faults.
func Decode(r io.Reader, limit int64, wire any) (Faults, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		size := fmt.Sprintf("a size of more than %d bytes", limit)
		return Faults{{Field: Root, Value: size, Allowed: fmt.Sprintf("at most %d bytes", limit)}}, nil
	}
	faults := inspect(data, wire)
	if faults.Has(Root) {
		return faults, nil
	}
	// A value of a wrong type has already been reported by inspect, and the
	// decoder still sets the other fields.
	err = json.NewDecoder(bytes.NewReader(data)).Decode(wire)
	var wrongType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &wrongType) {
		faults.Add(Root, err.Error(), "one JSON document")
		return faults, nil
	}
	Check(wire, &faults)
	return faults, nil
}

// Encode encodes a wire struct as indented JSON with a final newline.
func Encode(wire any) ([]byte, error) {
	data, err := json.MarshalIndent(wire, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}
