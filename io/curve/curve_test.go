package curve_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/curve"
)

// Guards against a curve that looks different from panel to panel because an earlier one is
// missing, and against files left behind by plots that can't be drawn.
func TestSave(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	flat := func(float64) float64 { return 7 }
	p := curve.Panel{Title: "look", Curves: []curve.Curve{{Name: "none"}, {Name: "after", Quantile: flat}}}
	file := filepath.Join(dir, "plot.SVG")
	is.NoErr(curve.Save(file, p, p))
	svg, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(strings.Count(string(svg), ">look</text>"), 2)
	is.Equal(strings.Count(string(svg), ">after</text>"), 2)
	is.Equal(strings.Count(string(svg), ">none</text>"), 0)
	is.True(strings.Contains(string(svg), "stroke-dasharray")) // the second curve is dashed

	is.True(curve.Save(filepath.Join(dir, "none.svg")) != nil)
	is.True(curve.Save(filepath.Join(dir, "plot.txt"), p) != nil)
	is.True(curve.Save(filepath.Join(dir, "missing", "plot.svg"), p) != nil)
	files, err := os.ReadDir(dir)
	is.NoErr(err)
	is.Equal(len(files), 1)
}
