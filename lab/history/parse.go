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

// errMissingExecution is the cause of a broken answer whose problem document does
// not state whether the request was executed.
var errMissingExecution = errors.New("history: problem document without execution")

// AnswerFromError returns the answer for a call that failed with err:
// AnswerUnreachable if no connection could be opened, else AnswerBroken.
func AnswerFromError(err error) Answer {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Answer{Kind: AnswerUnreachable, Detail: err.Error()}
	}
	return Answer{Kind: AnswerBroken, Detail: err.Error()}
}

// ParseAnswer parses a node's HTTP response to a query. The servers behind the node
// must be emulators; stride is their item stride, used to verify the parts' content.
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

// parsePart parses a part's body and compares its items with those that the
// emulator generates for the part's range.
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
