package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a row of the proofs page that names a test which does not
// exist, or has been renamed.
func TestProofsNameExistingTests(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("PROOFS.md")
	g.Expect(err).NotTo(HaveOccurred())
	sources := testSources(t)
	names := regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(string(page), -1)
	g.Expect(len(names)).To(BeNumerically(">", 30))
	for _, match := range names {
		name := match[1]
		declared := strings.Contains(sources, "func "+name+"(") || strings.Contains(sources, `It("`+name+`"`)
		g.Expect(declared).To(BeTrue(), "no test is named %q", name)
	}
}

func testSources(t *testing.T) string {
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return all.String()
}
