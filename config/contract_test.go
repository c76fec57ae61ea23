package config_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"indigoglade/config"
)

const valid = `// A contract.
{
  "customer": "dealers",
  "pools": [
    { "name": "quotes", "serve": "quotes", "hosts": 10, "floor": 6, "ceiling": 12, "slots": 8, "links": 64 },
  ],
  "answer": { "deadline": "3s", "target": 99, "rate": 100, "flight": 80, "queue": 20, "window": "10m", "retry": 10 },
  "budget": { "down": 2, "minutes": 60, "window": "24h", "domain": "rack" },
}
`

// expectProblem checks that replacing old by new in a valid contract gives one
// problem at line whose text contains want.
func expectProblem(t *testing.T, old, replacement string, line int, want string) {
	t.Helper()
	t.Run(want, func(t *testing.T) {
		c := qt.New(t)
		c.Assert(strings.Contains(valid, old), qt.IsTrue)
		f := config.ReadContract("c.json", []byte(strings.Replace(valid, old, replacement, 1)))
		c.Assert(f.Problems(), qt.HasLen, 1, qt.Commentf("%v", f.Problems()))
		c.Check(f.Problems()[0].Line(), qt.Equals, line)
		c.Check(f.Problems()[0].String(), qt.Contains, want)
	})
}

func TestContract(t *testing.T) {
	qt.Check(t, config.ReadContract("c.json", []byte(valid)).Problems(), qt.HasLen, 0)

	expectProblem(t, `"customer": "dealers"`, `"customer": ""`, 3, "expected a name")
	expectProblem(t, `"customer"`, `"custmer": "x", "customer"`, 3, "unknown key")
	expectProblem(t, `"hosts": 10,`, `"hosts": 10, "hosts": 9,`, 5, "key is repeated")
	expectProblem(t, `"hosts": 10`, `"hosts": "ten"`, 5, "expected a whole number, found \"ten\"")
	expectProblem(t, `"3s"`, `3`, 7, "a length of time with its unit")
	expectProblem(t, `"flight": 80`, `"flight": 97`, 7, "expected 1 to 96 requests in flight, found 97")
	expectProblem(t, `"down": 2`, `"down": 11`, 8, "a budget over 100 %")
	expectProblem(t, `"rack"`, `"row"`, 8, `expected "host", "rack" or "zone"`)
	expectProblem(t, `"target": 99`, `"target": 100`, 7, "a percentage between 0 and 100")
}

func TestNode(t *testing.T) {
	c := qt.New(t)
	f := config.ReadNode("n.json", []byte(`{
  "node": "e1", "zone": "a", "listen": "localhost:1",
  "status": "127.0.0.1:2", "link": "127.0.0.1:3", "platform": "127.0.0.1:4",
  "peers": [{ "node": "e1", "zone": "a", "address": "127.0.0.1:5" }],
}`))
	c.Assert(f.Problems(), qt.HasLen, 2)
	c.Check(f.Problems()[0].String(), qt.Contains, "n.json:2: /listen: expected an IP address with a port")
	c.Check(f.Problems()[1].String(), qt.Contains, `node "e1" is named twice`)
}

func ExampleReadContract() {
	f := config.ReadContract("c.json", []byte("{\n  \"customr\": \"dealers\",\n"))
	fmt.Println(f.Problems()[0].Line(), len(f.Problems()))
	// Output: 3 1
}
