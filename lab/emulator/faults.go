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

// FaultsPath is where every stand-in's fault switches are read (GET), merged
// with given ones (POST) and reset (DELETE).
const FaultsPath = "/v1/faults"

const maximumFaultsBytes = 64 << 10

// ErrInvalidFaults is returned for fault switches that can't be set; the text names the field.
var ErrInvalidFaults = errors.New("emulator: invalid faults")

// ServerFaults switches faults of a back end. Shares are chances from 0 to 1
// per request. The zero value has no fault.
type ServerFaults struct {
	// StraggleFactor multiplies service times; zero means one.
	StraggleFactor float64 `json:"straggle_factor" validate:"min=0,max=100000"`
	// StraggleShare is the share of requests that straggle; zero means all.
	StraggleShare float64 `json:"straggle_share" validate:"min=0,max=1"`
	// ReplyDelayMilliseconds holds each reply back after its execution.
	ReplyDelayMilliseconds float64 `json:"reply_delay_ms" validate:"min=0,max=600000"`
	// CloseBeforeShare closes the connection after reading a request, before
	// its execution.
	CloseBeforeShare float64 `json:"close_before_share" validate:"min=0,max=1"`
	// CloseAfterShare closes the connection after the execution.
	CloseAfterShare float64 `json:"close_after_share" validate:"min=0,max=1"`
	// TruncateShare cuts the reply in its middle.
	TruncateShare float64 `json:"truncate_share" validate:"min=0,max=1"`
	// SwappedReplyShare answers with the reply to another attempt.
	SwappedReplyShare float64 `json:"cross_share" validate:"min=0,max=1"`
	// WrongSnapshotShare executes on another snapshot than the one asked, and
	// says so.
	WrongSnapshotShare float64 `json:"wrong_snapshot_share" validate:"min=0,max=1"`
	// ErrorShare answers with an error after the execution.
	ErrorShare float64 `json:"error_share" validate:"min=0,max=1"`
	// ShedShare sheds requests that could have run.
	ShedShare float64 `json:"shed_share" validate:"min=0,max=1"`
	// Freeze holds everything back until it is switched off.
	Freeze bool `json:"freeze"`
	// Draining makes the server refuse new requests and say that it leaves.
	Draining bool `json:"draining"`
	// HealthState is what the health endpoint says instead of the truth.
	HealthState backend.HealthState `json:"health_state" validate:"omitempty,oneof=starting ready draining"`
	// HealthLagMilliseconds makes the health that the endpoint tells that old.
	HealthLagMilliseconds float64 `json:"health_lag_ms" validate:"min=0,max=600000"`
	// LoadFactor multiplies the load that the server reports; zero means one.
	LoadFactor float64 `json:"load_factor" validate:"min=0,max=100000"`
	// LoadLagMilliseconds makes reported load that old.
	LoadLagMilliseconds float64 `json:"load_lag_ms" validate:"min=0,max=600000"`
	// Snapshots replaces the snapshots held, unless empty.
	Snapshots []uint64 `json:"snapshots" validate:"max=1024,dive,min=1"`
	// Ranges replaces the key ranges held, unless empty.
	Ranges []coverage.Range `json:"ranges" validate:"max=1024,dive"`
}

// validateFaults turns the validator's errors into ErrInvalidFaults.
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

// faultsHandler serves FaultsPath for one type of switches.
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

// handleFaults serves FaultsPath for the switches that get and set reach.
func handleFaults[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.Handle(FaultsPath, faultsHandler[F]{validate: validation.New("json"), get: get, set: set})
}

// merge sets the switches that the body names and leaves the others.
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

// deepCopy copies switches with their lists, which decoding would overwrite.
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
