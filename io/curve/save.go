package curve

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	width  = 18 * vg.Centimeter
	height = 12 * vg.Centimeter // of each panel, with the gap to the next one
	gap    = vg.Centimeter / 2
)

// Save writes the panels to a file, one below the other. The format follows
// from the file's extension, for example .png or .svg.
func Save(file string, panels ...Panel) error {
	c, err := drawn(strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), "."), panels)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	_, err = c.WriteTo(f)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "plot")
}

// drawn returns a canvas with the panels.
func drawn(format string, panels []Panel) (vg.CanvasWriterTo, error) {
	if len(panels) == 0 {
		return nil, errors.New("nothing to draw")
	}
	rows := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		out, err := p.plot()
		if err != nil {
			return nil, err
		}
		rows[i] = []*plot.Plot{out}
	}
	c, err := draw.NewFormattedCanvas(width, height*vg.Length(len(panels)), format)
	if err != nil {
		return nil, err
	}
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: gap}
	for i, row := range plot.Align(rows, tiles, draw.New(c)) {
		rows[i][0].Draw(row[0])
	}
	return c, nil
}
