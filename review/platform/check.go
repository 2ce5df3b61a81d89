//go:build review

package main

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// checkAnswer returns "ok", or what is wrong with a success (rule MIXED).
func checkAnswer(kind requestKind, id string, got answer) string {
	if got.status < 200 || got.status > 299 {
		return "ok"
	}
	if len(kind.parts) > 0 {
		return checkGathered(kind, id, got)
	}
	stamp := strings.Split(got.header.Get(stampHeader), "/")
	switch {
	case len(stamp) != 3 || stamp[2] != id:
		return "MIXED: the signature is not of this request"
	case string(got.body) != contentOf(stamp[1], id):
		return "MIXED: the body is not the server's"
	default:
		return "ok"
	}
}

func checkGathered(kind requestKind, id string, got answer) string {
	missing, _ := strconv.Atoi(got.header.Get(missingPartsHeader))
	var named []string
	var records [][]byte
	for _, text := range strings.Split(strings.Join(got.header.Values(partStampsHeader), ","), ",") {
		stamp := strings.Split(strings.TrimSpace(text), "/")
		if len(stamp) != 3 || stamp[2] != id || !slices.Contains(kind.parts, stamp[0]) || slices.Contains(named, stamp[0]) {
			return "MIXED: a part is not of this request, or stands twice"
		}
		named = append(named, stamp[0])
		part := partOf(stamp[0], id, partLength)
		for ; len(part) >= 16; part = part[16:] {
			records = append(records, part[:16])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	whole := bytes.Join(records[:min(len(records), kind.top)], nil)
	switch {
	case len(named)+missing != len(kind.parts):
		return "MIXED: the parts don't make up the set"
	case float64(len(named)) < kind.minShare*float64(len(kind.parts)):
		return "MIXED: too few parts"
	case !bytes.Equal(whole, got.body):
		return "MIXED: the body is not made of the named parts"
	default:
		return "ok"
	}
}

// broken returns one line for each break of a rule in what clients and servers have seen.
func broken(events []event, kinds []requestKind) []string {
	type request struct {
		kind    requestKind
		asked   string
		ran     []event
		status  int
		answers time.Duration
	}
	requests := make(map[string]*request)
	var lines []string
	for _, e := range events {
		switch r := requests[e.id]; e.kind {
		case "sent":
			index := slices.IndexFunc(kinds, func(k requestKind) bool { return k.name == e.who })
			asked, _, _ := strings.Cut(e.text, " to ")
			requests[e.id] = &request{kind: kinds[index], asked: asked}
		case "ran":
			switch {
			case r == nil:
				lines = append(lines, fmt.Sprintf("UNASKED %s ran at %s, and no client sent it", e.id, e.who))
			case r.asked != e.text:
				lines = append(lines, fmt.Sprintf("UNASKED %s ran at %s as %q, sent was %q", e.id, e.who, e.text, r.asked))
			default:
				r.ran = append(r.ran, e)
			}
		case "answer":
			status, verdict, _ := strings.Cut(e.text, " ")
			r.status, _ = strconv.Atoi(status)
			r.answers = e.at
			if verdict != "ok" {
				lines = append(lines, fmt.Sprintf("%s %s: %s", verdict[:5], e.id, verdict))
			}
		}
	}
	for id, r := range requests {
		if r.kind.repeatable {
			continue
		}
		if len(r.ran) > 1 {
			lines = append(lines, fmt.Sprintf("TWICE %s ran %d times: %s", id, len(r.ran), runs(r.ran)))
		}
		if len(r.ran) > 0 && slices.Contains([]int{408, 421, 429, 503}, r.status) {
			lines = append(lines, fmt.Sprintf("REFUSED %s got %d at %.4f, and ran: %s", id, r.status, r.answers.Seconds(), runs(r.ran)))
		}
	}
	slices.Sort(lines)
	return lines
}

func runs(events []event) string {
	var texts []string
	for _, e := range events {
		texts = append(texts, fmt.Sprintf("%.4f at %s", e.at.Seconds(), e.who))
	}
	return strings.Join(texts, ", ")
}
