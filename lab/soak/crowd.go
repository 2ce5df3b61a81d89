package soak

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/banksail/banksail/lab/crowd"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/platform/standin"
)

const (
	// crowdSize is the number of connections of a crowd. With bodies of greatest size they have
	// 200 MB, and a node accepts them all.
	crowdSize = 800
	// crowdBodyBytes is the limit on bodies in the configuration, and crowdHeaderBytes almost the
	// limit on headers.
	crowdBodyBytes   = 256 << 10
	crowdHeaderBytes = 15 << 10
	crowdChunkBytes  = 16 << 10
)

// crowdForms returns what the connections of a crowd send after the request line and the common
// headers, one form for each crowd.
func crowdForms() []string {
	body := strings.Repeat("x", crowdBodyBytes)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", crowdChunkBytes, body[:crowdChunkBytes])
	var fields strings.Builder
	for number := 0; fields.Len() < crowdHeaderBytes; number++ {
		_, _ = fmt.Fprintf(&fields, "f%d:\r\n", number)
	}
	return []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", crowdBodyBytes, body[1:]),
		"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, crowdBodyBytes/crowdChunkBytes),
		fields.String(),
		fields.String() + "Content-Length: 5\r\n\r\nentr",
		"",
	}
}

// sendCrowd opens a crowd of connections to a node. Form and node follow from the time of the fault.
func (f *fleet) sendCrowd(fault schedule.Fault, wait func()) {
	nodes, forms := f.allNodes(), crowdForms()
	number := int(fault.At / time.Millisecond)
	target, form := nodes[number%len(nodes)], forms[number%len(forms)]
	head := fmt.Sprintf("POST %scrowd HTTP/1.1\r\nHost: %s\r\n%s: crowd\r\n%s: %d\r\n",
		pagePath, host, standin.AttemptIDHeader, standin.TimeoutHeader, routeTimeout.Milliseconds())
	opened := crowd.Open(crowdSize, net.JoinHostPort(target.host, strconv.Itoa(callersPort)), func(_ int, conn net.Conn) error {
		return crowd.Write(conn, head, form)
	})
	wait()
	opened.Close()
}
