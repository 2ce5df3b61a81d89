package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// classify returns the meaning of a complete reply, or the reason why the reply is not valid.
func (g *Gateway) classify(r *route.Route, reply *exchange.Reply) (status gather.ReplyStatus, failure string) {
	success := reply.Status >= 200 && reply.Status < 300
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return gather.ReplyNotOwner, ""
	case reply.Header.Get(g.options.Headers.NotExecuted) != "" && !success:
		return gather.ReplyShed, ""
	case success && reply.Header.Get(g.options.Headers.Stamp) == "":
		return 0, "no_stamp"
	case success && reply.Header.Get("Content-Encoding") != "":
		return 0, "encoded"
	case success:
		return gather.ReplyDone, ""
	case r.Target.IsFanOut() || reply.Status >= http.StatusInternalServerError || promisesNotRun(reply.Status):
		return gather.ReplyError, ""
	default:
		return gather.ReplyDone, ""
	}
}

// promisesNotRun reports whether callers take a status as a promise that the request has not run and
// never will. Servers make that promise with the NotExecuted header only.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// loadFields is the number of fields of the load header that are read.
const loadFields = 3

// parseLoad parses a server's load header: requests running, requests waiting and slots, separated
// by commas. Additional fields are ignored.
func parseLoad(value string) (routing.Load, bool) {
	var numbers [loadFields]int
	for i := range numbers {
		field, rest, more := strings.Cut(value, ",")
		number, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || number < 0 || !more && i < loadFields-1 {
			return routing.Load{}, false
		}
		numbers[i], value = number, rest
	}
	return routing.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// maxRetryAfter bounds the Retry-After of a server's reply.
const maxRetryAfter = 5 * time.Second

func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
