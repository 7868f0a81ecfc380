"""The real proxy's network side: actors on Tornado's IOStream. Nothing here decides where work goes."""
