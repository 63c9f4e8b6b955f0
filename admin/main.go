// Command chivectl is part of chivepost.
package main

func main() {}
