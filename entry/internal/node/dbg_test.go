package node

import (
	"fmt"
	"runtime"
	"strings"
)

func dumpBubble() {
	buf := make([]byte, 1<<22)
	buf = buf[:runtime.Stack(buf, true)]
	for _, g := range strings.Split(string(buf), "\n\n") {
		if strings.Contains(g, "synctest bubble") {
			fmt.Println(g + "\n")
		}
	}
}
