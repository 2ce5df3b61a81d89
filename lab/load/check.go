package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/banksail/banksail/lab/emulator"
)

// errWrongAnswer is returned for an answer that contradicts the data of the
// emulated servers or itself.
var errWrongAnswer = errors.New("load: wrong answer")

// coverageTolerance is the largest rounding error accepted in a reported coverage.
const coverageTolerance = 1e-9

// checkAnswer verifies an answer against the data of the emulated servers: all parts
// must come from one snapshot, belong to this request and contain all items of
// their range, and the reported coverage must be correct.
func checkAnswer(read *answer, requestID string, stride uint64) error {
	if read.RequestID != requestID {
		return fmt.Errorf("%w: it is for request %q", errWrongAnswer, read.RequestID)
	}
	for _, one := range read.Parts {
		if err := checkPart(one, read.Snapshot, requestID, stride); err != nil {
			return err
		}
	}
	return checkCoverage(read)
}

func checkPart(one part, snapshot uint64, requestID string, stride uint64) error {
	result := emulator.Result{}
	if err := json.Unmarshal(one.Body, &result); err != nil {
		return fmt.Errorf("%w: part %s: %w", errWrongAnswer, one.Range, err)
	}
	if result.RequestID != requestID {
		return fmt.Errorf("%w: part %s is for request %q", errWrongAnswer, one.Range, result.RequestID)
	}
	if !slices.Equal(result.Items, emulator.Items(one.Range, snapshot, stride)) {
		return fmt.Errorf("%w: part %s is not the whole range in snapshot %d", errWrongAnswer, one.Range, snapshot)
	}
	return nil
}

func checkCoverage(read *answer) error {
	if read.Coverage == nil {
		return fmt.Errorf("%w: coverage is missing", errWrongAnswer)
	}
	answered, missing := uint64(0), uint64(0)
	end := uint64(0)
	for _, one := range read.Parts {
		if one.Range.Start < end {
			return fmt.Errorf("%w: part %s overlaps the one before", errWrongAnswer, one.Range)
		}
		end = one.Range.End
		answered += one.Range.Size()
	}
	for _, gap := range read.Missing {
		missing += gap.Size()
	}
	fraction := 0.0
	if answered+missing > 0 {
		fraction = float64(answered) / float64(answered+missing)
	}
	if math.Abs(fraction-*read.Coverage) > coverageTolerance {
		return fmt.Errorf("%w: coverage is stated as %g and is %g", errWrongAnswer, *read.Coverage, fraction)
	}
	if read.Complete != (missing == 0) {
		return fmt.Errorf("%w: complete is %t with %d keys missing", errWrongAnswer, read.Complete, missing)
	}
	return nil
}
