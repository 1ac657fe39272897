package verdict_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against docs/verdicts.md lacking a reason, listing one that does not exist
// or giving a wrong HTTP status: callers look reasons up there.
func TestDocumentListsEveryReason(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../docs/verdicts.md")
	g.Expect(err).NotTo(HaveOccurred())
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\| [^|]{10,} \\| [^|]{10,} \\|$").FindAllStringSubmatch(string(data), -1)
	documented := make(map[verdict.Reason]string)
	for _, row := range rows {
		documented[verdict.Reason(row[1])] = row[2]
	}
	g.Expect(rows).To(HaveLen(len(documented)), "a reason has two rows")
	existing := make(map[verdict.Reason]string)
	for _, reason := range verdict.Reasons() {
		existing[reason] = fmt.Sprint(reason.HTTPStatus())
	}
	g.Expect(documented).To(Equal(existing))

	// Reasons does not return a constant without an HTTP status, so the constants
	// are read from the source as well.
	source, err := os.ReadFile("reason.go")
	g.Expect(err).NotTo(HaveOccurred())
	constants := regexp.MustCompile("(?m)^\\tReason\\w+ +Reason = \"(\\w+)\"$").FindAllStringSubmatch(string(source), -1)
	g.Expect(constants).To(HaveLen(len(existing)))
	for _, constant := range constants {
		g.Expect(existing).To(HaveKey(verdict.Reason(constant[1])))
	}
}
