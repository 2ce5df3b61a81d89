package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/banksail/banksail/internal/strictjson"
	"github.com/banksail/banksail/store"
)

// StoreServer emulates the key-value service.
type StoreServer struct {
	endpoint
	memory *store.Memory
}

// NewStoreServer returns a server for the records and leases of a Memory. The
// faults of the Memory appear as failures of the protocol: an outage as HTTP
// status 503, a lost reply as a closed connection.
func NewStoreServer(memory *store.Memory) *StoreServer {
	server := &StoreServer{endpoint: newEndpoint(), memory: memory}
	server.mux.HandleFunc("GET "+store.RecordsPath+"{key...}", server.getRecord)
	server.mux.HandleFunc("PUT "+store.RecordsPath+"{key...}", server.putRecord)
	server.mux.HandleFunc("POST "+store.LeasesPath, server.grant)
	server.mux.HandleFunc("PUT "+store.LeasesPath+"/{lease}", server.keepAlive)
	server.mux.HandleFunc("DELETE "+store.LeasesPath+"/{lease}", server.revoke)
	handleFaults(server.mux, memory.Faults, memory.SetFaults)
	return server
}

func (s *StoreServer) getRecord(writer http.ResponseWriter, request *http.Request) {
	key := request.PathValue("key")
	if err := store.ValidateKey(key); err != nil {
		writeProblem(writer, http.StatusBadRequest, err)
		return
	}
	record, err := s.readRecord(request.Context(), key, request.URL.Query())
	if err != nil {
		writeStoreError(writer, err)
		return
	}
	writer.Header().Set("ETag", store.FormatETag(record.Revision))
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(record.Value)
}

// readRecord reads a record. If the query names a revision, it waits for a newer
// one.
func (s *StoreServer) readRecord(ctx context.Context, key string, query url.Values) (store.Record, error) {
	if !query.Has(store.AfterParameter) {
		return s.memory.Get(ctx, key)
	}
	after, wait, err := parseWatch(query, store.AfterParameter, store.WaitParameter, store.MaximumWait)
	if err != nil {
		return store.Record{}, err
	}
	return s.memory.Watch(ctx, key, after, wait)
}

// parseWatch parses the parameters of a long poll: the revision or version after
// which to watch and the time to wait, in milliseconds, at most bound.
func parseWatch(query url.Values, afterName, waitName string, bound time.Duration) (uint64, time.Duration, error) {
	after, err := strconv.ParseUint(query.Get(afterName), 10, 64)
	if err != nil {
		return 0, 0, invalidField(afterName, "is no number")
	}
	count, err := strconv.ParseInt(query.Get(waitName), 10, 64)
	if err != nil || count < 0 || count > bound.Milliseconds() {
		return 0, 0, invalidField(waitName, fmt.Sprintf("must be from 0 to %d", bound.Milliseconds()))
	}
	return after, time.Duration(count) * time.Millisecond, nil
}

func (s *StoreServer) putRecord(writer http.ResponseWriter, request *http.Request) {
	key := request.PathValue("key")
	base, err := parseBaseRevision(request.Header)
	if err == nil {
		err = store.ValidateKey(key)
	}
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, err)
		return
	}
	value, err := strictjson.Read(request.Body, store.MaximumValueBytes)
	if err != nil {
		writeProblem(writer, http.StatusRequestEntityTooLarge, err)
		return
	}
	lease := store.LeaseID(request.URL.Query().Get(store.LeaseParameter))
	record, err := s.memory.Put(request.Context(), key, value, base, lease)
	if err != nil {
		writeStoreError(writer, err)
		return
	}
	writer.Header().Set("ETag", store.FormatETag(record.Revision))
	writer.WriteHeader(http.StatusOK)
}

// parseBaseRevision returns the revision on which a compare-and-swap is based,
// from If-Match, or zero to create a record, from If-None-Match: *.
func parseBaseRevision(header http.Header) (uint64, error) {
	match := header.Get("If-Match")
	none := header.Get("If-None-Match")
	switch {
	case match == "" && none == "*":
		return 0, nil
	case match == "" || none != "":
		return 0, invalidField("If-Match", "give either a revision here or * in If-None-Match")
	}
	base, err := store.ParseETag(match)
	if err != nil {
		return 0, invalidField("If-Match", err.Error())
	}
	return base, nil
}

func (s *StoreServer) grant(writer http.ResponseWriter, request *http.Request) {
	grant := store.GrantRequest{}
	err := strictjson.Decode(request.Body, strictjson.Limits{Bytes: store.MaximumLeaseBytes}, &grant)
	if err == nil {
		err = validateTimeToLive(grant)
	}
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, err)
		return
	}
	lease, err := s.memory.Grant(request.Context(), durationOf(grant.TimeToLiveMilliseconds))
	if err != nil {
		writeStoreError(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, store.GrantReply{Lease: lease})
}

func validateTimeToLive(grant store.GrantRequest) error {
	bound := store.MaximumTimeToLive.Milliseconds()
	if grant.TimeToLiveMilliseconds <= 0 || grant.TimeToLiveMilliseconds > float64(bound) {
		return invalidField("ttl_ms", fmt.Sprintf("must be over 0 and at most %d", bound))
	}
	return nil
}

func (s *StoreServer) keepAlive(writer http.ResponseWriter, request *http.Request) {
	lease := store.LeaseID(request.PathValue("lease"))
	if err := s.memory.KeepAlive(request.Context(), lease); err != nil {
		writeStoreError(writer, err)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (s *StoreServer) revoke(writer http.ResponseWriter, request *http.Request) {
	lease := store.LeaseID(request.PathValue("lease"))
	if err := s.memory.Revoke(request.Context(), lease); err != nil {
		writeStoreError(writer, err)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// writeStoreError responds with the HTTP status that represents the error. A lost
// reply or a cancelled request closes the connection without a response.
func writeStoreError(writer http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrUnchanged):
		writer.WriteHeader(http.StatusNotModified)
	case errors.Is(err, store.ErrNotFound):
		writeProblem(writer, http.StatusNotFound, err)
	case errors.Is(err, store.ErrConflict):
		writeProblem(writer, http.StatusPreconditionFailed, err)
	case errors.Is(err, store.ErrRateLimited):
		writeProblem(writer, http.StatusTooManyRequests, err)
	case errors.Is(err, errInvalidRequest):
		writeProblem(writer, http.StatusBadRequest, err)
	default:
		writeProblem(writer, http.StatusServiceUnavailable, err)
	}
}
