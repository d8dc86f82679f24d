package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

func (s *Server) rows(c echo.Context) error {
	ctx, table := c.Request().Context(), s.view(c).Table
	if c.QueryParams().Has("key") {
		row, err := table.Get(ctx, c.QueryParam("key"))
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, wire.FromRows([]platform.Row{row}))
	}
	after, err := queryNumber(c, "after")
	if err != nil {
		return err
	}
	limit, err := queryNumber(c, "limit")
	if err != nil {
		return err
	}
	rows, err := table.List(ctx, c.QueryParam("prefix"), after, int(min(limit, maxCount)))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, wire.FromRows(rows))
}

// queryNumber returns a numeric query parameter, 0 if it is missing.
func queryNumber(c echo.Context, name string) (uint64, error) {
	s := c.QueryParam(name)
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, invalid("request", "%s in the query is %q, not a number from 0", name, s)
	}
	return n, nil
}

func (s *Server) commit(c echo.Context) error {
	commit, err := decode[wire.Commit](c)
	if err != nil {
		return err
	}
	version, err := s.view(c).Table.Commit(c.Request().Context(), commit.Domain())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, wire.Committed{Version: version})
}

func (s *Server) getObject(c echo.Context) error {
	name, err := pathName(c)
	if err != nil {
		return err
	}
	content, err := s.view(c).Objects.Get(c.Request().Context(), name)
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(content)))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, content)
}

func (s *Server) putObject(c echo.Context) error {
	name, err := pathName(c)
	if err != nil {
		return err
	}
	content, err := readBody(c)
	if err != nil {
		return err
	}
	if err := s.view(c).Objects.Put(c.Request().Context(), name, content); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (s *Server) deleteObject(c echo.Context) error {
	name, err := pathName(c)
	if err != nil {
		return err
	}
	if err := s.view(c).Objects.Delete(c.Request().Context(), name); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (s *Server) hosts(c echo.Context) error {
	hosts, err := s.view(c).Hosts.Hosts(c.Request().Context())
	if err != nil {
		return err
	}
	body, err := json.Marshal(wire.FromHosts(hosts))
	if err != nil {
		return err
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, body)
}
