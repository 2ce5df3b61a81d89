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

// Halt identifies an order whose target must receive no more requests.
type Halt struct {
	Service string
	Order   uint64
}

// Limits of one call.
const (
	maxReports   = 512
	maxCells     = 128
	maxTextBytes = 256
)

// Report sends a node's reports, at most maxReports, to the decider at address. It returns the orders
// to halt. All reports must be from the same node and process. Errors wrap ErrUnavailable.
func (c *Client) Report(ctx context.Context, address string, reports []rollout.Report) ([]Halt, error) {
	if len(reports) == 0 {
		return nil, nil
	}
	message := &evidence.Reports{Node: reports[0].Node, Process: reports[0].Process}
	for _, report := range reports[:min(len(reports), maxReports)] {
		message.Orders = append(message.Orders, &evidence.OrderReport{
			Service:   report.Service,
			Order:     report.Order,
			Moved:     report.Moved,
			Remaining: uint32(report.Remaining),
			Target:    encodeCells(report.Target),
			Before:    encodeCells(report.Before),
		})
	}
	client := evidence.NewRolloutsProtobufClient("http://"+address, &http.Client{Transport: c.reportTransport})
	halts, err := client.Report(ctx, message)
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

// ReportReceiver receives the nodes' reports on roll-outs.
type ReportReceiver interface {
	// ReceiveReports handles a node's reports and returns the orders to halt.
	ReceiveReports(reports []rollout.Report) []Halt
}

// ReportsHandler returns a handler for the reports that other nodes send to this one.
func ReportsHandler(receiver ReportReceiver) http.Handler {
	return evidence.NewRolloutsServer(&reportsServer{receiver})
}

// ReportsPath is the prefix of the paths that ReportsHandler serves.
const ReportsPath = evidence.RolloutsPathPrefix

type reportsServer struct{ receiver ReportReceiver }

// Report implements evidence.Rollouts.
func (s *reportsServer) Report(_ context.Context, message *evidence.Reports) (*evidence.Halts, error) {
	reports, err := decodeReports(message)
	if err != nil {
		return nil, err
	}
	response := new(evidence.Halts)
	for _, halt := range s.receiver.ReceiveReports(reports) {
		response.Halts = append(response.Halts, &evidence.Halt{Service: halt.Service, Order: halt.Order})
	}
	return response, nil
}

// decodeReports converts a message to reports. Its error names the invalid field.
func decodeReports(message *evidence.Reports) ([]rollout.Report, error) {
	switch {
	case message.GetNode() == "" || len(message.GetNode()) > maxTextBytes:
		return nil, twirp.InvalidArgumentError("node", fmt.Sprintf("must have from 1 to %d bytes", maxTextBytes))
	case len(message.GetProcess()) > maxTextBytes:
		return nil, twirp.InvalidArgumentError("process", fmt.Sprintf("must have at most %d bytes", maxTextBytes))
	case len(message.GetOrders()) > maxReports:
		return nil, twirp.InvalidArgumentError("orders", fmt.Sprintf("must be at most %d", maxReports))
	}
	reports := make([]rollout.Report, 0, len(message.GetOrders()))
	for number, order := range message.GetOrders() {
		report := rollout.Report{
			Node: message.GetNode(), Process: message.GetProcess(), Service: order.GetService(), Order: order.GetOrder(),
			Moved: order.GetMoved(), Remaining: int(order.GetRemaining()),
		}
		for field, cells := range map[string][]*evidence.Cell{"target": order.GetTarget(), "before": order.GetBefore()} {
			if len(cells) > maxCells {
				return nil, twirp.InvalidArgumentError(fmt.Sprintf("orders[%d].%s", number, field), fmt.Sprintf("must be at most %d", maxCells))
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
			Counts: rollout.Counts{Answers: clampCount(cell.GetAnswers()), Failed: clampCount(cell.GetFailed()), Slow: clampCount(cell.GetSlow())},
		})
	}
	return decoded
}

// clampCount limits a count so that sums of counts don't overflow on any platform.
func clampCount(count uint32) int { return int(min(count, math.MaxInt32)) }
