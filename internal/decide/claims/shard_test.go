package claims_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
)

// Guards against two sendings of a request that spell its key in different
// ways and meet in different shards, where neither owner sees the other claim.
func TestSpellingsOfAKeyShareAShard(t *testing.T) {
	g := NewWithT(t)
	for n := range byte(32) {
		plain := key(epoch, n)
		for _, other := range []string{strings.ToUpper(plain), strings.ReplaceAll(plain, "-", ""), "urn:uuid:" + plain, "{" + plain + "}"} {
			g.Expect(claims.ShardOf("c", other)).To(Equal(claims.ShardOf("c", plain)), "%s and %s", other, plain)
		}
	}
}
