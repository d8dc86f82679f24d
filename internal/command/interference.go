package command

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

// showInterference writes the pairs of images that are known to interfere. It writes nothing
// for an owner that does not learn them, as those of earlier releases.
func showInterference(w io.Writer, v *api.CellInterference) {
	if v == nil {
		return
	}
	row(w, "Interference", v.Mode, "Classes", v.Classes, "Pairs", v.Pairs)
	if len(v.Worst) > 0 {
		row(w, "IMAGE", "BESIDE", "LOSS PER TASK", "OF", "LAST SEEN")
	}
	for _, p := range v.Worst {
		of := "speed"
		if p.Serving {
			of = "latency target"
		}
		row(w, imageText(p.Image, p.Serving), imageText(p.Beside, p.BesideServing), fmt.Sprintf("%.0f%%", percent*p.Loss), of, p.Age)
	}
}

const percent = 100

// imageText formats the image of a class of tasks. Clients name the images, so that a name
// that is not printable is quoted.
func imageText(image string, serving bool) string {
	if strings.ContainsFunc(image, func(r rune) bool { return !unicode.IsPrint(r) }) {
		image = strconv.Quote(image)
	}
	if serving {
		return image + " (serving)"
	}
	return image
}
