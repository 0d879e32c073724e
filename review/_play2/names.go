package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// names are the platform's header names, in lower case. They are taken from what the packages
// below platform/ write.
type names struct {
	attempt, expected, caller, workspace string
	instance, load                       string
}

const headerSlots = 7

func learnNames() names {
	var n names
	var h fasthttp.RequestHeader
	karpithaz.SetTargetHeaders(&h, karpithaz.TargetRequest{TimeLeft: time.Second, Target: "the-target", Workspace: "the-workspace", CallerService: "the-caller"})
	standin.SetAttempt(&h, "the-attempt")
	for key, value := range h.All() {
		name := strings.ToLower(string(key))
		switch string(value) {
		case "the-target":
			n.expected = name
		case "the-workspace":
			n.workspace = name
		case "the-caller":
			n.caller = name
		case "the-attempt":
			n.attempt = name
		}
	}
	target, err := standin.StartTarget("the-instance", "any", "127.0.0.1:0", headerSlots, 0)
	must(err)
	defer target.Close()
	c, err := net.Dial("tcp", target.Addr())
	must(err)
	defer c.Close()
	fmt.Fprintf(c, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
	var resp fasthttp.ResponseHeader
	must(resp.Read(bufio.NewReader(c)))
	for key, value := range resp.All() {
		switch string(value) {
		case "the-instance":
			n.instance = string(key)
		case fmt.Sprintf("0,0,%d", headerSlots):
			n.load = string(key)
		}
	}
	if n.attempt == "" || n.expected == "" || n.caller == "" || n.workspace == "" || n.instance == "" || n.load == "" {
		panic(cannotRun{"a header name was not found"})
	}
	return n
}
