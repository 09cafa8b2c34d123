package settings

import (
	"fmt"
	"testing"
)

const validGatewayText = "[instance]\nseat = a\ndataCentre = c\n[listen]\ncallers = :1\nready = :2\npeers = :3\nmetrics = :4\n[platform]\naddress = p:5\n"

// A share that leaves no memory for the process itself, or none for callers, is accepted.
func TestCallerMemoryShare(t *testing.T) {
	s, err := ParseGateway([]byte(validGatewayText), nil)
	if err != nil || s.CallerMemoryShare != defaultCallerMemoryShare || s.MaxWaitingConnections != 0 {
		t.Fatalf("got %+v and %v, want the defaults", s, err)
	}
	for text, valid := range map[string]bool{"0.1": true, "0.5": true, "0": false, "-1": false, "0.51": false, "NaN": false, "x": false, "1e400": false} {
		s, err := ParseGateway([]byte(validGatewayText), []string{"limits.callerMemoryShare=" + text})
		if (err == nil) != valid {
			t.Errorf("share %s: %v, want valid %v", text, err, valid)
		}
		if valid && fmt.Sprint(s.CallerMemoryShare) != text {
			t.Errorf("share %s gives %v", text, s.CallerMemoryShare)
		}
	}
	s, err = ParseGateway([]byte(validGatewayText), []string{"limits.waitingConnections=70", "limits.receiveBufferBytes=70000"})
	if err != nil || s.MaxWaitingConnections != 70 || s.ReceiveBufferBytes != 70000 {
		t.Errorf("got %+v and %v", s, err)
	}
}
