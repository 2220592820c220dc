/** The only format of a configuration document that this program reads. */
export const configurationFormat = 1;
