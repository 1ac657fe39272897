package claims_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
)

// Guards against a resend that spells its key in another way and maps to another
// shard, whose owner does not see the first claim.
func TestSpellingsOfAKeyShareAShard(t *testing.T) {
	g := NewWithT(t)
	for n := range byte(32) {
		plain := key(epoch, n)
		for _, other := range []string{strings.ToUpper(plain), strings.ReplaceAll(plain, "-", ""), "urn:uuid:" + plain, "{" + plain + "}"} {
			g.Expect(claims.ShardOf("c", other)).To(Equal(claims.ShardOf("c", plain)), "%s and %s", other, plain)
		}
	}
}
