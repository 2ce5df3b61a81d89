package relay

import (
	"context"
	"fmt"
	"math"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/banksail/banksail/relay/evidence"
	"github.com/banksail/banksail/rollout"
)

// Halt names an order whose target is to get nothing more.
type Halt struct {
	Service string
	Order   uint64
}

// Bounds of what one call may tell.
const (
	mostReports = 512
	mostCells   = 128
	mostText    = 256
)

// Report tells a decider what a node has seen; it returns the orders that are to be halted.
func (c *Client) Report(ctx context.Context, address string, reports []rollout.Report) ([]Halt, error) {
	if len(reports) == 0 {
		return nil, nil
	}
	told := &evidence.Reports{Node: reports[0].Node, Process: reports[0].Process}
	for _, report := range reports[:min(len(reports), mostReports)] {
		told.Orders = append(told.Orders, &evidence.OrderReport{
			Service:   report.Service,
			Order:     report.Order,
			Moved:     report.Moved,
			Remaining: uint32(report.Remaining),
			Target:    encodeCells(report.Target),
			Before:    encodeCells(report.Before),
		})
	}
	client := evidence.NewRolloutsProtobufClient("http://"+address, &http.Client{Transport: c.reports})
	halts, err := client.Report(ctx, told)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	halted := make([]Halt, 0, len(halts.GetHalts()))
	for _, halt := range halts.GetHalts() {
		halted = append(halted, Halt{Service: halt.GetService(), Order: halt.GetOrder()})
	}
	return halted, nil
}

func encodeCells(cells []rollout.Cell) []*evidence.Cell {
	encoded := make([]*evidence.Cell, 0, len(cells))
	for _, cell := range cells {
		encoded = append(encoded, &evidence.Cell{
			Route: cell.Route, Server: cell.Server,
			Answers: uint32(cell.Answers), Failed: uint32(cell.Failed), Slow: uint32(cell.Slow),
		})
	}
	return encoded
}

// ReportReceiver takes nodes' reports on roll-outs.
type ReportReceiver interface {
	// ReceiveReports takes what a node has seen, and lists the orders that are to be halted.
	ReceiveReports(reports []rollout.Report) []Halt
}

// ReportsHandler answers nodes that report to this one.
func ReportsHandler(hearer ReportReceiver) http.Handler {
	return evidence.NewRolloutsServer(&reportsServer{hearer})
}

// ReportsPath begins the paths that ReportsHandler answers.
const ReportsPath = evidence.RolloutsPathPrefix

type reportsServer struct{ hearer ReportReceiver }

// Report implements evidence.Rollouts.
func (s *reportsServer) Report(_ context.Context, told *evidence.Reports) (*evidence.Halts, error) {
	reports, err := decodeReports(told)
	if err != nil {
		return nil, err
	}
	answer := new(evidence.Halts)
	for _, halt := range s.hearer.ReceiveReports(reports) {
		answer.Halts = append(answer.Halts, &evidence.Halt{Service: halt.Service, Order: halt.Order})
	}
	return answer, nil
}

// decodeReports turns a message into reports; its error names the field at fault.
func decodeReports(told *evidence.Reports) ([]rollout.Report, error) {
	switch {
	case told.GetNode() == "" || len(told.GetNode()) > mostText:
		return nil, twirp.InvalidArgumentError("node", fmt.Sprintf("must have from 1 to %d bytes", mostText))
	case len(told.GetProcess()) > mostText:
		return nil, twirp.InvalidArgumentError("process", fmt.Sprintf("must have at most %d bytes", mostText))
	case len(told.GetOrders()) > mostReports:
		return nil, twirp.InvalidArgumentError("orders", fmt.Sprintf("must be at most %d", mostReports))
	}
	reports := make([]rollout.Report, 0, len(told.GetOrders()))
	for number, order := range told.GetOrders() {
		report := rollout.Report{
			Node: told.GetNode(), Process: told.GetProcess(), Service: order.GetService(), Order: order.GetOrder(),
			Moved: order.GetMoved(), Remaining: int(order.GetRemaining()),
		}
		for field, cells := range map[string][]*evidence.Cell{"target": order.GetTarget(), "before": order.GetBefore()} {
			if len(cells) > mostCells {
				return nil, twirp.InvalidArgumentError(fmt.Sprintf("orders[%d].%s", number, field), fmt.Sprintf("must be at most %d", mostCells))
			}
		}
		report.Target, report.Before = decodeCells(order.GetTarget()), decodeCells(order.GetBefore())
		reports = append(reports, report)
	}
	return reports, nil
}

func decodeCells(cells []*evidence.Cell) []rollout.Cell {
	decoded := make([]rollout.Cell, 0, len(cells))
	for _, cell := range cells {
		decoded = append(decoded, rollout.Cell{
			Route: cell.GetRoute(), Server: cell.GetServer(),
			Counts: rollout.Counts{Answers: countOf(cell.GetAnswers()), Failed: countOf(cell.GetFailed()), Slow: countOf(cell.GetSlow())},
		})
	}
	return decoded
}

// countOf bounds a count so that sums of counts are numbers everywhere.
func countOf(count uint32) int { return int(min(count, math.MaxInt32)) }
