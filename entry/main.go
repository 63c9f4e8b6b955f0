// Command chive-entry is part of chivepost.
package main

func main() {}
