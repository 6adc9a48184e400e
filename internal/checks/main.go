// Command checks reports Go files that gofmt would change and the limits on the policy
// file: at most 640 lines that are not blank, none longer than 110 characters.
package main

import (
	"bytes"
	"fmt"
	"go/format"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"unicode/utf8"
)

const (
	policy    = "balancer.go"
	maxLines  = 640
	maxLength = 110
)

func main() {
	faults, err := check(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "checks:", err)
		os.Exit(2)
	}
	for _, f := range faults {
		fmt.Println(f)
	}
	if len(faults) > 0 {
		os.Exit(1)
	}
}

// check reads the Go files below root and returns what is wrong with them.
func check(root string) ([]string, error) {
	var faults []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && (strings.HasPrefix(d.Name(), ".") || d.Name() == "journal") {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		want, err := format.Source(src)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if !bytes.Equal(src, want) {
			faults = append(faults, path+": not as gofmt writes it")
		}
		count := 0
		for i, line := range strings.Split(string(src), "\n") {
			if strings.TrimSpace(line) != "" {
				count++
			}
			if utf8.RuneCountInString(line) > maxLength {
				faults = append(faults, fmt.Sprintf("%s:%d: longer than %d characters", path, i+1, maxLength))
			}
		}
		if path == filepath.Join(root, policy) && count > maxLines {
			faults = append(faults, fmt.Sprintf("%s: %d lines, at most %d", path, count, maxLines))
		}
		return nil
	})
	return faults, err
}
