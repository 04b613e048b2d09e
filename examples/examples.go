// Package examples embeds the configurations of the two sites that the tier is
// designed for. All their addresses are on the loopback interface.
package examples

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

//go:embed *.jsonc
var files embed.FS

const (
	baseFile   = "base.jsonc"
	fileSuffix = ".jsonc"
)

// UnknownSiteError reports that there is no example with the name Site; Sites has
// the names that exist.
type UnknownSiteError struct {
	Site  string
	Sites []string
}

// Error implements error.
func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("no example for site %q, available sites: %s", e.Site, strings.Join(e.Sites, ", "))
}

// Sites returns the names of the example sites in alphabetical order.
func Sites() []string {
	names, err := fs.Glob(files, "*"+fileSuffix)
	if err != nil {
		panic(fmt.Sprintf("examples: %v", err))
	}
	var sites []string
	for _, name := range names {
		if name != baseFile {
			sites = append(sites, strings.TrimSuffix(name, fileSuffix))
		}
	}
	return sites
}

// Document returns the configuration of a site, merged from the base file and the
// overlay of the site. For a site without an overlay the error is an
// *UnknownSiteError.
func Document(site string) (*model.Document, error) {
	base, err := files.ReadFile(baseFile)
	if err != nil {
		return nil, err
	}
	name := site + fileSuffix
	overlay, err := files.ReadFile(name)
	if err != nil || name == baseFile {
		return nil, &UnknownSiteError{Site: site, Sites: Sites()}
	}
	merged, err := config.Load(config.Source{Name: baseFile, Data: base}, config.Source{Name: name, Data: overlay})
	if err != nil {
		return nil, err
	}
	return merged.Document, nil
}
