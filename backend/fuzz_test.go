package backend

import (
	"errors"
	"testing"

	"github.com/banksail/banksail/coverage"
)

func FuzzDecodeReply(f *testing.F) {
	f.Add(200, []byte(`{"attempt_id":"a1","status":"done","snapshot":7,"range":{"start":0,"end":10},"body":{}}`))
	f.Add(200, []byte(`{"attempt_id":"a1","status":"done","snapshot":null,"range":{},"body":null}`))
	f.Add(503, []byte(`{"attempt_id":"a1","status":"shed","retry_after_ms":-1,"load":{"in_flight":1}}`))
	f.Add(409, []byte(`{"attempt_id":"a1","status":"unknown_snapshot","snapshots":[1,2]}`))
	f.Add(500, []byte(`[[[[`))
	request := &Request{AttemptID: "a1", Snapshot: 7, Range: coverage.Range{Start: 0, End: 10}}
	f.Fuzz(func(t *testing.T, code int, data []byte) {
		reply, err := decodeReply(data, code, request)
		if err != nil {
			if !errors.Is(err, ErrMalformed) || reply != nil {
				t.Fatalf("reply %v with error %v", reply, err)
			}
			return
		}
		if reply.AttemptID != request.AttemptID || reply.Status.HTTPCode() != code {
			t.Fatalf("accepted %+v with HTTP status %d", reply, code)
		}
		if reply.Status == StatusDone && (*reply.Snapshot != request.Snapshot || *reply.Range != request.Range) {
			t.Fatalf("accepted %+v, which does not match the request", reply)
		}
	})
}

func FuzzDecodeHealthAndLoad(f *testing.F) {
	f.Add(200, []byte(`{"state":"ready","incarnation":"i","snapshots":[1]}`))
	f.Add(200, []byte(`{"in_flight":1,"queued":2}`))
	f.Add(503, []byte(`{}`))
	f.Fuzz(func(t *testing.T, code int, data []byte) {
		if health, err := decodeHealth(data, code); (health == nil) == (err == nil) {
			t.Fatalf("health %v with error %v", health, err)
		}
		if load, err := decodeLoad(data, code); (load == nil) == (err == nil) {
			t.Fatalf("load %v with error %v", load, err)
		}
	})
}
