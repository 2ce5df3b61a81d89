package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/internal/strictjson"
	"github.com/banksail/banksail/internal/validation"
)

// FaultsPath is the HTTP path of every emulated service's fault settings. GET
// reads them, POST merges the fields of the body into them and DELETE resets
// them.
const FaultsPath = "/v1/faults"

const maximumFaultsBytes = 64 << 10

// ErrInvalidFaults is returned for fault settings that are malformed or out of
// range; its text names the field.
var ErrInvalidFaults = errors.New("emulator: invalid faults")

// ServerFaults selects the faults that a Server injects. Each Share is a
// probability per request, from 0 to 1. The zero value injects none.
type ServerFaults struct {
	// StraggleFactor multiplies service times; zero means one.
	StraggleFactor float64 `json:"straggle_factor" validate:"min=0,max=100000"`
	// StraggleShare is the share of requests that StraggleFactor applies to; zero
	// means all.
	StraggleShare float64 `json:"straggle_share" validate:"min=0,max=1"`
	// ReplyDelayMilliseconds delays each reply after the execution.
	ReplyDelayMilliseconds float64 `json:"reply_delay_ms" validate:"min=0,max=600000"`
	// CloseBeforeShare closes the connection after the request is read and before
	// it is executed.
	CloseBeforeShare float64 `json:"close_before_share" validate:"min=0,max=1"`
	// CloseAfterShare closes the connection after the execution, without a reply.
	CloseAfterShare float64 `json:"close_after_share" validate:"min=0,max=1"`
	// TruncateShare closes the connection after half of the reply.
	TruncateShare float64 `json:"truncate_share" validate:"min=0,max=1"`
	// SwappedReplyShare answers with the reply to the previous attempt.
	SwappedReplyShare float64 `json:"cross_share" validate:"min=0,max=1"`
	// WrongSnapshotShare executes on a snapshot other than the requested one and
	// reports that snapshot in the reply.
	WrongSnapshotShare float64 `json:"wrong_snapshot_share" validate:"min=0,max=1"`
	// ErrorShare answers with backend.StatusError after the execution.
	ErrorShare float64 `json:"error_share" validate:"min=0,max=1"`
	// ShedShare sheds requests regardless of free capacity.
	ShedShare float64 `json:"shed_share" validate:"min=0,max=1"`
	// Freeze suspends all requests until it is cleared.
	Freeze bool `json:"freeze"`
	// Draining makes the server refuse new requests and report that it is
	// draining.
	Draining bool `json:"draining"`
	// HealthState overrides the state that the health endpoint reports.
	HealthState backend.HealthState `json:"health_state" validate:"omitempty,oneof=starting ready draining"`
	// HealthLagMilliseconds is the age of the state that the health endpoint
	// reports.
	HealthLagMilliseconds float64 `json:"health_lag_ms" validate:"min=0,max=600000"`
	// LoadFactor multiplies the load that the server reports; zero means one.
	LoadFactor float64 `json:"load_factor" validate:"min=0,max=100000"`
	// LoadLagMilliseconds is the age of the load that the server reports.
	LoadLagMilliseconds float64 `json:"load_lag_ms" validate:"min=0,max=600000"`
	// Snapshots overrides the snapshots that the server holds, unless empty.
	Snapshots []uint64 `json:"snapshots" validate:"max=1024,dive,min=1"`
	// Ranges overrides the key ranges that the server holds, unless empty.
	Ranges []coverage.Range `json:"ranges" validate:"max=1024,dive"`
}

// validateFaults checks the validate tags of fault settings. It reports all
// violations in one error that wraps ErrInvalidFaults.
func validateFaults(validate *validator.Validate, faults any) error {
	err := validate.Struct(faults)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	problems := make([]string, 0, len(fields))
	for _, field := range fields {
		problems = append(problems, fmt.Sprintf("%s: must satisfy %s=%s", validation.Path(field), field.Tag(), field.Param()))
	}
	return fmt.Errorf("%w: %s", ErrInvalidFaults, strings.Join(problems, "; "))
}

// faultsHandler serves FaultsPath for fault settings of type F.
type faultsHandler[F any] struct {
	validate *validator.Validate
	get      func() F
	set      func(F)
}

func (h faultsHandler[F]) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method {
	case http.MethodGet:
	case http.MethodPost:
		if err := h.merge(request); err != nil {
			writeProblem(writer, http.StatusBadRequest, err)
			return
		}
	case http.MethodDelete:
		var none F
		h.set(none)
	default:
		writer.Header().Set("Allow", "GET, POST, DELETE")
		writeProblem(writer, http.StatusMethodNotAllowed, errMethodNotAllowed)
		return
	}
	writeJSON(writer, http.StatusOK, h.get())
}

// handleFaults registers a handler of FaultsPath for the fault settings that get
// and set access.
func handleFaults[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.Handle(FaultsPath, faultsHandler[F]{validate: validation.New("json"), get: get, set: set})
}

// merge sets the fields that the request's body names and keeps the others. It
// changes nothing if the body is invalid.
func (h faultsHandler[F]) merge(request *http.Request) error {
	faults, err := deepCopy(h.get())
	if err != nil {
		return err
	}
	data, err := strictjson.Read(request.Body, maximumFaultsBytes)
	if err == nil {
		err = strictjson.Merge(data, strictjson.Limits{Bytes: maximumFaultsBytes}, &faults)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidFaults, err)
	}
	if err := validateFaults(h.validate, faults); err != nil {
		return err
	}
	h.set(faults)
	return nil
}

// deepCopy returns a copy of the fault settings that shares no slices with them,
// since decoding into a shared slice would overwrite the original.
func deepCopy[F any](faults F) (F, error) {
	var copied F
	data, err := json.Marshal(faults)
	if err == nil {
		err = json.Unmarshal(data, &copied)
	}
	if err != nil {
		return copied, fmt.Errorf("%w: copying the switches: %w", ErrInvalidFaults, err)
	}
	return copied, nil
}
