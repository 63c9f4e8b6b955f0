// Command chive-stand is part of chivepost.
package main

func main() {}
