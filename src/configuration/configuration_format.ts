/** The only format number of configuration documents that this program supports. */
export const configurationFormat = 1;
