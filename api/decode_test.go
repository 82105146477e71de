package api

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecodeYAMLNamesFileLineAndField(t *testing.T) {
	cases := []struct {
		name, text, want string
	}{
		{"unknown field", "kind: Service\nname: a\nspec:\n  selecter: x=1\n", "f.yaml:4: spec.selecter: unknown field"},
		{"wrong unit", "kind: Service\nname: a\nspec:\n  selector: x=1\n  timeout: 20\n", `f.yaml:5: spec.timeout: "20" is not a duration`},
		{"bad selector", "kind: Policy\nname: a\nspec:\n  selector: x in (1\n", "f.yaml:4: spec.selector: missing )"},
		{"unknown kind", "kind: Servise\nname: a\n", `f.yaml:1: kind: unknown kind "Servise"`},
		{"missing selector", "kind: Customer\nname: a\nspec:\n  weight: 2\n", "f.yaml:3: spec.selector: missing"},
		{"wrong type", "kind: Customer\nname: a\nspec:\n  weight: heavy\n", "f.yaml:4: spec.weight: cannot unmarshal"},
		{"bad name", "kind: Customer\nname: A b\nspec:\n  selector: x=1\n", "f.yaml:2: name:"},
		{"not YAML", "kind: [\n", "f.yaml:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeYAML("f.yaml", []byte(c.text))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestDecodeYAMLReturnsAllErrors(t *testing.T) {
	_, err := DecodeYAML("f.yaml", []byte("kind: Service\nname: a\nspec:\n  timeout: 1\n  color: red\n---\nkind: Nope\n"))
	require.ErrorContains(t, err, "f.yaml:4: spec.timeout")
	require.ErrorContains(t, err, "f.yaml:5: spec.color")
	require.ErrorContains(t, err, "f.yaml:7: kind")
}

func TestObjectJSONRoundTrip(t *testing.T) {
	sources, err := DecodeYAML("f.yaml", []byte("kind: Service\nname: a\nlabels: {team: x}\nspec:\n  selector: app=a\n  protocol: http\n  upstreams: pool=a\n  timeout: 20s\n"))
	require.NoError(t, err)
	data, err := json.Marshal(sources[0].Object)
	require.NoError(t, err)
	var o Object
	require.NoError(t, json.Unmarshal(data, &o))
	require.Equal(t, sources[0].Object, &o)
	require.Error(t, json.Unmarshal([]byte(`{"kind":"Nope","name":"a"}`), &o))
}

func parseCatalog(t *testing.T, text string) *Catalog {
	t.Helper()
	sources, err := DecodeYAML("f.yaml", []byte(text))
	require.NoError(t, err)
	objects := Objects(sources)
	return NewCatalog(objects)
}

const serviceAndCustomer = `
kind: Service
name: desk
labels: {tier: gold}
spec: {selector: app=desk, protocol: http, upstreams: pool=desk}
---
kind: Customer
name: c
spec: {selector: account=c}
---
`

func TestResolveMergesPoliciesByPriority(t *testing.T) {
	c := parseCatalog(t, serviceAndCustomer+`
kind: Policy
name: low
spec: {selector: service=desk, idempotent: true, class: patient, timeout: 3s}
---
kind: Policy
name: high
spec: {selector: service.tier=gold, priority: 5, class: urgent}
`)
	r, ok := c.Resolve(Labels{"app": "desk", "account": "c"})
	require.True(t, ok)
	require.True(t, r.Idempotent)
	require.Equal(t, ClassUrgent, r.Class)
	require.Equal(t, "3s", Duration(r.Timeout).String())
	require.Equal(t, []string{"high", "low"}, r.Policies)
	require.Empty(t, c.Check())
	_, ok = c.Resolve(Labels{"app": "desk"})
	require.False(t, ok)
}

func TestRequestIsNotIdempotentByDefault(t *testing.T) {
	r, ok := parseCatalog(t, serviceAndCustomer).Resolve(Labels{"app": "desk", "account": "c"})
	require.True(t, ok)
	require.False(t, r.Idempotent)
}

func TestCheckFindsAmbiguousSelectors(t *testing.T) {
	c := parseCatalog(t, serviceAndCustomer+`
kind: Service
name: other
spec: {selector: "app in (desk, x)", protocol: http, upstreams: pool=x}
`)
	errs := c.Check()
	require.Len(t, errs, 2)
	require.ErrorContains(t, errs[0], "ambiguous")
}
