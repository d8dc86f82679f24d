package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// render fills in a settings template as the platform does: {{a.b}} is a value and
// {{a.b|json}} its JSON, both empty if there is none. A section {{#a.b}} to {{/a.b}} stays
// if the value is true or present, {{^a.b}} to {{/a.b}} if it is false or absent.
func render(t *testing.T, template string, values map[string]any) string {
	t.Helper()
	opening := regexp.MustCompile(`\{\{([#^])([a-z_.]+)\}\}`)
	for {
		at := opening.FindStringSubmatchIndex(template)
		if at == nil {
			break
		}
		kind, name := template[at[2]:at[3]], template[at[4]:at[5]]
		body, rest, found := strings.Cut(template[at[1]:], "{{/"+name+"}}")
		if !found {
			t.Fatalf("section %s is not closed", name)
		}
		value, present := values[name]
		if (present && value != false) != (kind == "#") {
			body = ""
		}
		template = template[:at[0]] + body + rest
	}
	variable := regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
	return variable.ReplaceAllStringFunc(template, func(text string) string {
		parts := variable.FindStringSubmatch(text)
		value, present := values[parts[1]]
		switch {
		case !present:
			return ""
		case parts[2] == "":
			return fmt.Sprint(value)
		}
		out, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	})
}

// The template must give valid settings for deployments with and without accounts. Those
// without have neither bound on revocation.
func TestTemplateGivesValidSettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/host.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		bounds map[string]any
		strict bool
		within time.Duration
	}{
		"no accounts":      {nil, false, 0},
		"strict":           {map[string]any{"bounds.strict_revocation": true, "bounds.revoke_ms": 2500}, true, 2500 * time.Millisecond},
		"strict, fraction": {map[string]any{"bounds.strict_revocation": true, "bounds.revoke_ms": "2500.0"}, true, 2500 * time.Millisecond},
		"not strict":       {map[string]any{"bounds.strict_revocation": false, "bounds.revoke_ms": 4000}, false, 4 * time.Second},
		"only the time":    {map[string]any{"bounds.revoke_ms": 0}, false, 0},
		"only the switch":  {map[string]any{"bounds.strict_revocation": false}, false, 0},
	} {
		values := map[string]any{
			"node_name": "h-1", "region": "r", "zone": "z", "listen.control": "10.0.0.1:1", "listen.frontend": "10.0.0.1:2",
			"listen.readiness": "10.0.0.1:3", "seeds": []string{"10.0.0.2:1"}, "ip": "10.0.0.1", "platform.addr": "10.0.0.9:1",
			"limits.memory_mb": 184, "limits.max_fds": 4100, "limits.cpu_share": 0.192, "limits.link_mbps": 10, "bounds.fencing_enforced": true,
			"bounds.hold_max_ms": 6000, "bounds.grace_s": 6, "bounds.status_s": 120,
		}
		for k, v := range c.bounds {
			values[k] = v
		}
		text := render(t, string(template), values)
		s, err := ReadHost(strings.NewReader(text))
		if err != nil || s.Bounds.StrictRevocation != c.strict || s.Bounds.RevokeWithin != c.within || s.Bounds.KeepEnded != 2*time.Minute {
			t.Errorf("%s: %+v, %v\n%s", name, s.Bounds, err, text)
		}
	}
}
