package upstream_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/upstream"
)

// BenchmarkRun measures one exchange with an upstream that answers at once.
func BenchmarkRun(b *testing.B) {
	u := startUpstream(b, fake.UpstreamConfig{})
	c := upstream.New(upstream.Config{Addr: u.Addr(), MaxConns: 6})
	defer c.Close()
	for n := 0; b.Loop(); n++ {
		request := book(strconv.Itoa(n))
		request.ProgressTimeout = time.Second
		if _, err := c.Run(b.Context(), request); err != nil {
			b.Fatal(err)
		}
	}
}
