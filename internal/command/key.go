package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/credential"
)

// keyHashed is the JSON result of "key hash". Its field is named as in the keys
// file.
type keyHashed struct {
	HashSHA256 string
}

func keyCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "key",
		Usage:       "works with bearer keys",
		Description: example("cicadabarrow key hash payments.key"),
		Commands: []*cli.Command{{
			Name:        "hash",
			Usage:       "prints the hash of the bearer key in a file, for the keys file",
			ArgsUsage:   "FILE (- reads standard input)",
			Description: example("cicadabarrow key hash payments.key"),
			Flags:       []cli.Flag{formatFlag()},
			Action: commandAction(stdout, 1, func(_ context.Context, cmd *cli.Command) (result, error) {
				hash, err := hashKey(cmd.Args().First())
				if err != nil {
					return result{}, err
				}
				return result{JSON: keyHashed{HashSHA256: hash}, Text: func(w io.Writer) { row(w, hash) }}, nil
			}),
		}},
	}
}

func hashKey(name string) (string, error) {
	var key string
	var err error
	if name == "-" {
		key, err = parseKey(os.Stdin)
	} else {
		key, err = readKey(name)
	}
	if err != nil {
		return "", err
	}
	if len(key) < credential.MinKeyBytes {
		return "", fmt.Errorf("the key has %d bytes; allowed is at least %d", len(key), credential.MinKeyBytes)
	}
	return credential.Hash(key), nil
}
