/** The name under which a manifest lists the base part. */
export const basePartName = "base";
