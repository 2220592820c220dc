/**
 * Backend servers that stated that they are about to leave: the start of the
 * incarnation in the register, in milliseconds since the Unix epoch, by
 * identifier. In the order of the last statement. Mutable.
 */
export type Departures = Map<string, number>;
