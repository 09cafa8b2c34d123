package settings

import (
	"os"
	"strings"
	"testing"
)

// The policy in the template that deployments start from must be the default, and a wrong one
// must not start an instance with a rule that nobody chose.
func TestAdmissionPolicy(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.ini")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(template), "[admission]\npolicy = auto\n") {
		t.Error("the template does not have the default policy")
	}
	base := []string{"instance.seat=a", "instance.dataCentre=b", "listen.callers=h:1", "listen.ready=h:2", "listen.peers=h:3", "listen.metrics=h:4", "platform.address=h:5"}
	for policy, valid := range map[string]bool{"": true, "auto": true, "pipeline": true, "stage": true, "Pipeline": false, "off": false} {
		overrides := base
		if policy != "" {
			overrides = append(base[:len(base):len(base)], "admission.policy="+policy)
		}
		s, err := ParseGateway(nil, overrides)
		if (err == nil) != valid {
			t.Errorf("policy %q: error %v, want valid %v", policy, err, valid)
			continue
		}
		want := policy
		if want == "" {
			want = "auto"
		}
		if valid && s.AdmissionPolicy != want {
			t.Errorf("policy %q: got %q", policy, s.AdmissionPolicy)
		}
	}
}
