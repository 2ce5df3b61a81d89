package history

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/lab/emulator"
)

// errMissingExecution: a refusal that does not tell of the execution.
var errMissingExecution = errors.New("history: no account of the execution")

// AnswerFromError tells a connection that was never made from an answer that never came.
func AnswerFromError(err error) Answer {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Answer{Kind: AnswerUnreachable, Detail: err.Error()}
	}
	return Answer{Kind: AnswerBroken, Detail: err.Error()}
}

// ParseAnswer reads a node's answer to a query whose back ends are the emulator's,
// with their item stride.
func ParseAnswer(status int, data []byte, stride uint64) Answer {
	if status != http.StatusOK {
		return parseProblem(status, data)
	}
	var document caller.Answer
	if err := json.Unmarshal(data, &document); err != nil {
		return AnswerFromError(err)
	}
	answer := Answer{
		Kind: AnswerResult, Execution: ExecutionDone, Reason: document.Reason,
		RequestID: document.RequestID, Snapshot: document.Snapshot, Coverage: document.Coverage,
		Complete: document.Complete, Missing: document.Missing,
	}
	for _, part := range document.Parts {
		answer.Parts = append(answer.Parts, parsePart(part, stride))
	}
	return answer
}

func parseProblem(status int, data []byte) Answer {
	var problem caller.Problem
	if err := json.Unmarshal(data, &problem); err != nil {
		return AnswerFromError(err)
	}
	if problem.Execution == "" {
		return AnswerFromError(fmt.Errorf("%w: HTTP status %d", errMissingExecution, status))
	}
	return Answer{
		Kind: AnswerRefusal, Execution: Execution(problem.Execution),
		Reason: problem.Reason, RequestID: problem.RequestID, Detail: problem.Title,
	}
}

// parsePart compares a part with what the emulator holds for its range.
func parsePart(part caller.Part, stride uint64) Part {
	parsed := Part{Range: part.Range}
	var result emulator.Result
	if json.Unmarshal(part.Body, &result) != nil {
		return parsed
	}
	parsed.Server, parsed.RequestID = result.Server, result.RequestID
	if len(result.Items) > 0 {
		parsed.Snapshot = result.Items[0].Snapshot
	}
	parsed.ContentMatches = slices.Equal(result.Items, emulator.Items(part.Range, parsed.Snapshot, stride))
	return parsed
}
