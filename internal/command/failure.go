package command

import (
	"errors"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/client"
	"cicadabarrow.example/cicadabarrow/internal/document"
)

// fillErrorBody sets the fields of a body from the errors that an error wraps.
func fillErrorBody(err error, body *api.Error) {
	var callErr *client.Error
	if errors.As(err, &callErr) {
		body.Kind = string(callErr.Kind)
	}
	var respErr *client.ResponseError
	if errors.As(err, &respErr) {
		*body = respErr.Body
	}
	var faults document.Faults
	if errors.As(err, &faults) && len(faults) > 0 {
		body.Kind = "invalid"
		body.Field, body.Value, body.Allowed = faults[0].Field, faults[0].Value, faults[0].Allowed
	}
}
