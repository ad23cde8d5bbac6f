// Package catkinspindle defines the interfaces between the components of the
// serving layer and the values that they exchange.
//
// Implementations live in the packages below this one, each named after the
// peer or protocol that it talks to.
package catkinspindle
