/** The name of the part that holds zones, routes and rules. */
export const basePartName = "base";
