// Command chive-call is part of chivepost.
package main

func main() {}
